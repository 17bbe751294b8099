"""
Seeds that failed
=================

Every seed in which a check ever fired, or should have, and why;
`python -m tests.soak --again` plays them.
"""

from types import MappingProxyType
from typing import Mapping

FAILED: Mapping[int, str] = MappingProxyType(
    {
        22: 'ended by SIGTERM 0.2 s after its start; the check was wrong',
        106: 'a stream reached a time that a new version had shortened; '
        'the check was wrong',
        109: 'ended by SIGHUP while it imported its modules; mended',
        131: 'the same as 109',
        137: 'sources that were half edited; own failures are checked since',
    }
)
