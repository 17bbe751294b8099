"""Tests: one file per module; example files are checked as data.

Property tests share one profile that makes their results depend on the code
alone: every run uses the same examples, and hypothesis's checks of wall time
are disabled, because they fail on a busy machine.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('repeatable')
