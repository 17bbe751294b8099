"""Tests: a file for each module, and example files checked as data.

Property tests share one profile, so that their verdict depends on the code
alone: the same examples in each run, and none of hypothesis's checks that
measure wall time, which fail where the machine is busy.
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
