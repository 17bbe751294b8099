"""Which names of requests are blamed for crashes."""

import unittest
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from tests.blaming import DEADLY, Load, Simulation
from trestledock.relay import Crash, Quarantine
from trestledock.relay._blame import (
    MAX_MISSING,
    REQUEST_THRESHOLD,
    SHARED_THRESHOLD,
    Evidence,
    find_blamed,
)

#: Crashes one second apart.
FIVE = {f't{number}': number for number in range(SHARED_THRESHOLD.crashes)}
SIX = {**FIVE, 't8': 8}
SEVEN = {**SIX, 't9': 9}
OTHERS = {f'u{number}': number for number in range(SHARED_THRESHOLD.crashes)}
MOMENT = dict.fromkeys((f't{number}' for number in range(40)), 1.0)
MIXED = dict(list(FIVE.items())[3:] + list(OTHERS.items())[3:])
THREE = dict(list(FIVE.items())[: REQUEST_THRESHOLD.crashes])


def part(crashes, companions=''):
    return Evidence(
        crashes,
        SHARED_THRESHOLD,
        is_part=True,
        companions=frozenset(companions),
    )


def sound_part(crashes):
    return replace(part(crashes), was_sound=True)


def request(crashes):
    return Evidence(crashes, REQUEST_THRESHOLD)


#: Cases: the crashes of parts (upper case) and requests, and what is blamed.
CASES = {
    'a deadly part': ({'D': part(FIVE)}, ['D']),
    'one crash less': ({'D': part(dict(list(FIVE.items())[1:]))}, []),
    'many targets at one moment': ({'P': part(MOMENT)}, []),
    'two parts that are always together': (
        {'D': part(FIVE, 'P'), 'P': part(FIVE, 'D')},
        ['DP'],
    ),
    'one report of the part beside it is lost': (
        {'D': part(SIX, 'P'), 'P': part(FIVE, 'D')},
        ['DP'],
    ),
    'it ran without the part beside it': (
        {'D': part(SEVEN, 'P'), 'P': part(FIVE, 'D')},
        ['D'],
    ),
    'one of two was answered lately': (
        {'D': part(FIVE), 'P': sound_part(SEVEN)},
        ['D'],
    ),
    'a deadly part that was sound until then': (
        {'D': sound_part(FIVE)},
        ['D'],
    ),
    'parts of different requests': (
        {'D': part(SEVEN), 'P': part(SIX)},
        ['D'],
    ),
    'two deadly parts': (
        {'D': part(FIVE), 'E': part(OTHERS)},
        ['D', 'E'],
    ),
    'a popular part beside two deadly ones': (
        {'D': part(FIVE), 'E': part(OTHERS), 'P': part(MIXED)},
        ['D', 'E'],
    ),
    'a harmless request at crashes of a part': (
        {'D': part(FIVE), 'f': request(THREE)},
        ['D'],
    ),
    'a deadly request': ({'f': request(THREE)}, ['f']),
    'a deadly request beside a deadly part': (
        {'D': part(FIVE), 'f': request(OTHERS)},
        ['D', 'f'],
    ),
    'another request with more crashes': (
        {'f': request(THREE), 'g': request(FIVE)},
        ['f', 'g'],
    ),
}


class CasesTest(unittest.TestCase):
    """One decision for parts and requests."""

    def test_cases(self):
        for name, (evidence, blamed) in CASES.items():
            with self.subTest(name):
                found = find_blamed(evidence)
                self.assertEqual(
                    sorted(''.join(sorted(one)) for one in found), blamed
                )

    # Guards against the quarantine of a harmless part that is often beside a
    # deadly one: only requests with both are refused.
    def test_requests_with_some_names_run(self):
        quarantine = make_quarantine({'part:d': FIVE, 'part:p': FIVE})
        quarantine.record_request(('f', 'part:d', 'part:p'))
        self.assertTrue(quarantine.refuses(('f', 'part:p', 'part:d')))
        self.assertFalse(quarantine.refuses(('f', 'part:p')))
        quarantine.record_answer('part:p', 9)
        self.assertTrue(quarantine.refuses(('f', 'part:d')))
        self.assertFalse(quarantine.refuses(('f', 'part:p')))

    # Guards against harmless requests that stay refused.
    def test_answer_that_began_after_crashes_clears(self):
        for began_at, is_refused in ((3, True), (9, False)):
            with self.subTest(began_at=began_at):
                quarantine = make_quarantine({'part:d': FIVE})
                quarantine.record_answer('part:d', began_at)
                self.assertEqual(quarantine.refuses(('part:d',)), False)
                for number in range(SHARED_THRESHOLD.crashes - 1):
                    crash = Crash('part:d', f'v{number}')
                    quarantine.record_crash(crash, 4.5 + number)
                self.assertEqual(quarantine.refuses(('part:d',)), is_refused)

    # Guards against popular parts that are blamed together, which refuses no
    # request, and hide the deadly one at an entry that has answered none.
    def test_part_that_another_entry_has_cleared(self):
        quarantine = make_quarantine({'part:d': FIVE, 'part:p': SIX})
        self.assertFalse(quarantine.refuses(('f', 'part:d')))
        quarantine.clear_crashes('part:p', ('earlier',))
        self.assertTrue(quarantine.refuses(('f', 'part:d')))
        self.assertFalse(quarantine.refuses(('f', 'part:p')))

    # Guards against instances that start later and blame nobody, as all
    # crashes of a record seem to be of one moment.
    def test_record_keeps_the_moments(self):
        quarantine = make_quarantine({'part:d': FIVE})
        later = Quarantine()
        for record in quarantine.get_records(now=60):
            later.merge(record, now=7)
        self.assertTrue(later.refuses(('part:d',)))


def make_quarantine(crashes_by_name):
    quarantine = Quarantine()
    for name, crashes in crashes_by_name.items():
        for incarnation, at in crashes.items():
            quarantine.record_crash(Crash(name, incarnation), at)
    return quarantine


INCARNATIONS = st.sampled_from([f't{number}' for number in range(9)])
REPORTS = st.lists(
    st.tuples(
        st.sampled_from(['part:a', 'part:b', 'part:c', 'f']), INCARNATIONS
    )
)


class PropertyTest(unittest.TestCase):
    """Whatever is reported, in whichever order."""

    # Guards against instances that decide differently on the same reports.
    @given(REPORTS, st.randoms(use_true_random=False))
    def test_order_does_not_matter(self, reports, rng):
        shuffled = list(reports)
        rng.shuffle(shuffled)
        blamed = []
        for order in (reports, shuffled):
            quarantine = Quarantine()
            for name, incarnation in order:
                at = int(incarnation[1:])
                quarantine.record_crash(Crash(name, incarnation), at)
            blamed.append(set(quarantine.get_blamed()))
        self.assertEqual(*blamed)

    # Guards against a name that is refused for crashes at which it was not.
    @given(REPORTS)
    def test_each_blamed_name_was_at_the_crashes(self, reports):
        quarantine = Quarantine()
        for name, incarnation in reports:
            at = int(incarnation[1:])
            quarantine.record_crash(Crash(name, incarnation), at)
        for suspects in quarantine.get_blamed():
            for name in suspects:
                self.assertGreaterEqual(
                    quarantine.count_crashes(name),
                    REQUEST_THRESHOLD.crashes - MAX_MISSING,
                )


class ErrorRatesTest(unittest.TestCase):
    """How many sound requests are refused, and deadly ones missed.

    Eighteen targets with eight requests each, whose prompts share three first
    parts and forty documents; the same seeds for each load.
    """

    def play(self, load, seeds=12):
        results = [Simulation(load, seed).run() for seed in range(seeds)]
        sound = sum(result.sound for result in results)
        share = sum(result.refused for result in results) / sound
        return results, share

    def check_known(self, load):
        """At most three are sent later than 3 s after the fifth crash."""
        results, share = self.play(load)
        self.assertLessEqual(max(one.count_late() for one in results), 3)
        return share

    # Guards against targets that end one after the other.
    def test_deadly_part(self):
        for load in (
            Load(),
            Load(deadly_rate=0.4, until=40),
            Load(deadly_place=0),
            Load(sound_rate=3, first_parts=9),
        ):
            with self.subTest(load):
                self.assertEqual(self.check_known(load), 0)

    # Guards against harmless first parts blamed in place of deadly ones,
    # as few sound requests are left that could clear them.
    def test_two_deadly_parts_among_few_targets(self):
        load = Load(targets=8, deadly=2, deadly_rate=12, sound_rate=12)
        results, share = self.play(load)
        self.assertLessEqual(share, 0.01)
        # Each part has five crashes of its own and three more requests.
        self.assertLessEqual(max(one.count_late() for one in results), 6)

    def test_two_deadly_parts(self):
        results, share = self.play(Load(deadly=2, deadly_rate=4))
        self.assertLessEqual(share, 0.01)
        # Each part has five crashes of its own and three more requests.
        self.assertLessEqual(max(one.count_late() for one in results), 6)

    # Guards against sound requests that are refused since targets crash for
    # other reasons.
    def test_crashes_alone(self):
        for load, most in (
            (Load(deadly_rate=0, crash_rate=0.03), 0),
            (Load(deadly_rate=0, crash_rate=0.12), 0.01),
            (Load(deadly_rate=0, wave=0.33), 0),
            (Load(deadly_rate=0, wave=0.5, wave_s=2), 0.01),
        ):
            with self.subTest(load):
                _, share = self.play(load)
                self.assertLessEqual(share, most)

    def test_deadly_part_among_crashes(self):
        """A third of the targets crashes by itself in three seconds."""
        for load in (Load(crash_rate=0.12), Load(wave=0.33)):
            with self.subTest(load):
                self.assertLessEqual(self.check_known(load), 0.01)

    # Guards against a part that is excused by answers from before.
    def test_part_that_was_sound_until_then(self):
        load = Load()
        quarantine = Quarantine()
        for number in range(50):
            quarantine.record_answer(f'{DEADLY}0', number / 20)
        result = Simulation(load, 3, quarantine).run()
        self.assertLessEqual(result.count_late(), 3)
        self.assertEqual(result.refused, 0)

    def test_same_seed_same_result(self):
        load = replace(Load(), until=9)
        first, again = (Simulation(load, 7).run() for _ in range(2))
        self.assertEqual(first, again)
        self.assertNotEqual(first, Simulation(load, Random(7).random()).run())
