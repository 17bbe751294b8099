"""
What lives for a connection
===========================

The tasks around the core: caller, target, peer and platform connections, and
the daemon that runs them.
"""

from trestledock.connection._daemon import run_instance, run_until_signal
from trestledock.connection._settings import Settings

__all__ = ('Settings', 'run_instance', 'run_until_signal')
