"""
Demo
====

Runs both example deployments on the loopback interface, in one process.
"""

from trestledock.demo._deployment import get_free_port
from trestledock.demo._run import demo

__all__ = ('demo', 'get_free_port')
