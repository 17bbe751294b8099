"""
Connections
===========

The I/O tasks around the core: connections to callers, targets, peers and the
platform, and the daemon that runs them.
"""

from trestledock.connection._daemon import run_instance, run_until_signal
from trestledock.connection._settings import Settings

__all__ = ('Settings', 'run_instance', 'run_until_signal')
