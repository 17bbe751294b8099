"""
Seeds that failed
=================

Every plan and seed in which a check ever fired, or should have, and why;
`python -m tests.soak --again` plays them.
"""

from types import MappingProxyType
from typing import Mapping

FAILED: Mapping[tuple[str, int], str] = MappingProxyType(
    {
        (
            'mixed',
            22,
        ): 'ended by SIGTERM 0.2 s after its start; the check was wrong',
        (
            'mixed',
            106,
        ): 'a stream reached a time that a new version had shortened; '
        'the check was wrong',
        ('mixed', 109): 'ended by SIGHUP while it imported its modules; mended',
        ('mixed', 131): 'the same as 109',
        (
            'mixed',
            137,
        ): 'sources that were half edited; own failures are checked since',
    }
)
