"""
Command-line interface
======================

All commands of the single `trestledock` binary.
"""

from trestledock.cli._main import main

__all__ = ('main',)
