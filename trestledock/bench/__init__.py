"""
Bench
=====

Replays a seeded trace through the core and measures the decisions.  It is a
tool for developers and needs the packages of requirements-dev.txt.
"""

from trestledock.bench._replay import Case, Row, replay
from trestledock.bench._report import main, run_bench

__all__ = ('Case', 'Row', 'main', 'replay', 'run_bench')
