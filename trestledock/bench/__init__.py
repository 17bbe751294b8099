"""
Benchmarks
==========

Replay a seeded trace through the process core and measure its decisions.  They
are a tool for developers and need the packages of requirements-dev.txt.
"""

from trestledock.bench._replay import Case, Row, replay
from trestledock.bench._report import main, run_bench

__all__ = ('Case', 'Row', 'main', 'replay', 'run_bench')
