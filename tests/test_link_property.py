"""
Links that are cut and come back, at random.

A world of targets answers or fails by the cuts that are drawn; the health of
the links is told what an entry would see.  Guards against a cut that is not
noticed, one that is noticed where there is none, and one that lasts beyond its
end.
"""

import unittest
from itertools import product
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import (
    LinkHealth,
    ListedTarget,
    find_probe_candidates,
)

DATA_CENTRES = ('dc-a', 'dc-b', 'dc-c')
SERVICES = ('engines', 'booking')
TARGETS = tuple(
    ListedTarget(f'{service}-{data_centre}-{number}', service, '', data_centre)
    for service, data_centre, number in product(
        SERVICES, DATA_CENTRES, range(3)
    )
)
#: Interval of requests, and of probes, in seconds.
REQUEST_S = 0.02
PROBE_S = 0.4
PARTS = (*DATA_CENTRES, *SERVICES, 'all')


def is_in(target, part):
    return part in {'all', target.data_centre, target.service}


class Entry:
    """One entry whose requests go to random targets."""

    def __init__(self, seed, dead=frozenset()):
        self.links = LinkHealth()
        self.rng = Random(seed)
        self.dead = dead
        self.cut = None
        self.now = 0.0
        self.direct_failures = 0
        self.detours = 0
        self.probed_at = 0.0

    def is_cut(self, target):
        return self.cut is not None and is_in(target, self.cut)

    def play(self, until):
        """Send requests and probes until a time."""
        while self.now < until:
            self.now += REQUEST_S
            self.request(self.rng.choice(TARGETS))
            doubted = self.links.get_doubted(self.now)
            if doubted and self.now - self.probed_at >= PROBE_S:
                self.probed_at = self.now
                self.probe()

    def request(self, target):
        if self.links.is_doubted(target, self.now):
            self.detours += 1
            if target not in self.dead:
                self.links.record_reached(target, self.now)
            return
        self.connect(target)

    def connect(self, target):
        """Connect over the own link; return whether it works."""
        if target in self.dead or self.is_cut(target):
            self.direct_failures += target not in self.dead
            self.links.record_failure(target, self.now, is_new=True)
            return False
        self.links.record_success(target, is_new=True)
        return True

    def probe(self):
        """Probe as an entry does, until a link is back."""
        for candidates in tuple(
            find_probe_candidates(self.links, TARGETS, self.now)
        ):
            for group in (candidates.sound, candidates.failed):
                if group and self.connect(self.rng.choice(group)):
                    return


class CutPropertyTest(unittest.TestCase):
    """Random cuts of all links or of a part of them."""

    @given(
        seed=st.integers(0, 10_000),
        part=st.sampled_from(PARTS),
        length_s=st.floats(1, 20),
    )
    def test_cuts_are_noticed_and_end(self, seed, part, length_s):
        """Few requests fail in a cut, and none goes around soon after it."""
        entry = Entry(seed)
        entry.play(2)
        self.assertEqual(entry.detours, 0)
        entry.cut = part
        entry.play(entry.now + length_s)
        # Two failures make a part doubtful, and a success in another part ends
        # the doubt about what both share; two probes of a part may fail.
        probes = (length_s / PROBE_S + 1) * 2 * len(SERVICES)
        self.assertLessEqual(entry.direct_failures, 12 + probes)
        entry.cut = None
        entry.play(entry.now + 10)
        detours = entry.detours
        entry.play(entry.now + 2)
        self.assertEqual(entry.detours, detours)

    @given(
        seed=st.integers(0, 10_000),
        dead=st.sets(st.sampled_from(TARGETS), max_size=4),
    )
    def test_crashes_are_no_lost_links(self, seed, dead):
        """Crashed targets never prove a loss, as nobody reaches them."""
        entry = Entry(seed, frozenset(dead))
        entry.play(10)
        for target in TARGETS:
            self.assertFalse(entry.links.is_lost(target))
