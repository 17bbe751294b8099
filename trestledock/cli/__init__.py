"""
Command line
============

The one binary's commands.
"""

from trestledock.cli._main import main

__all__ = ('main',)
