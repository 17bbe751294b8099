"""
Demo
====

Both deployments of the brief on loopback, in one process.
"""

from trestledock.demo._deployment import get_free_port
from trestledock.demo._run import demo

__all__ = ('demo', 'get_free_port')
