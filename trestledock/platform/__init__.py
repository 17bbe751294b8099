"""
Adapter to the users' platform
==============================

Translates between the platform's settings, store, headers and orders and the
types of `trestledock.entry` and `trestledock.relay`.  It decides nothing, and
nothing outside it knows the platform's names.
"""

from trestledock.platform._run import run

__all__ = ('run',)
