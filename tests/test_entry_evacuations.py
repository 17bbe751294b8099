"""How entries learn of evacuations, and keep to them.

The bound counts from the write of the operator's record; entries whose
neighbours are of an older version keep to it too.
"""

import json
import unittest
from unittest.mock import patch

import anyio

from tests.following import Store, run_entries
from tests.living import LivingEntry, run_life
from tests.relaying import SETTINGS
from tests.restoring import CONFIG, run_world
from tests.test_entry_restoring import watch
from trestledock.entry import _evacuations
from trestledock.entry._evacuation_codec import EVACUATED_FIELD
from trestledock.relay import (
    REWRITE_WAIT_S,
    Evacuations,
    ReaderCandidate,
    ReadSchedule,
)

#: Time within which all entries know of a record, in seconds, with a store that
#: serves all of them: some 40 ms of latencies above a read and a question.
KNOWN_S = 1.2
#: The same for an end after a restore.
END_S = REWRITE_WAIT_S + KNOWN_S
#: The bound of the settings, in seconds.
BOUND_S = 5.0
#: How long the reads of the store are counted, and the interval between two
#: reads of a reader, in seconds.
WATCH_S = 6
READ_INTERVAL_S = ReadSchedule(SETTINGS.settle_s).read_interval_s
#: Number of entries of two versions.
COUNT = 12
#: Values of the field that no version sends.
INVALID_FIELDS = (
    5,
    'dc',
    [],
    {'names': 'dc', 'age_s': 0, 'complete': True},
    {'names': ['dc'], 'age_s': 'x', 'complete': True},
    {'names': ['dc'], 'age_s': 0},
)
#: Fields of the messages that older versions neither send nor read.
NEW_FIELDS = ('evacuations', 'evacuated_age_s')


def is_evacuated(entry):
    """Whether an entry sends nothing to the targets of its data centre."""
    return entry.state.is_evacuated() and not entry.get_usable()


async def watch_for(entries, for_s):
    """Return what was seen of the evacuation in a time, as a set."""
    return set(await watch(entries, for_s, is_evacuated))


class OperatorTest(unittest.TestCase):
    """The operator's records on a store that is restored, or down."""

    def play(self, scenario, count=3):
        """Run a scenario with entries that know of an evacuation."""

        async def begin(world, *entries):
            world.evacuate()
            await anyio.sleep(KNOWN_S)
            self.assertTrue(all(map(is_evacuated, entries)))
            return await scenario(world, *entries)

        return run_world(count, begin)

    def test_end(self):
        """Guards against an evacuation that stays, or that is called twice.

        Each entry marks the targets as cold once.
        """

        async def scenario(world, *entries):
            world.evacuate(ends=True)
            written_at = anyio.current_time()
            with patch.object(_evacuations, 'record_cold_return') as mark:
                await anyio.sleep(KNOWN_S)
                seen = await watch_for(entries, 3)
            ended = [call.args for call in mark.call_args_list]
            names = [name for _, name, _ in ended]
            late_s = max(at for _, _, at in ended) - written_at
            return seen, names, late_s < KNOWN_S

        self.assertEqual(
            self.play(scenario), ({False}, ['dc', 'dc', 'dc'], True)
        )

    def test_lost_record(self):
        """Guards against requests until the operator writes it again.

        The copy of the store lacks the record; it is back after 1.8 s.
        """

        async def scenario(world, *entries):
            world.store.go_back(KNOWN_S + 0.5)
            seen = await watch_for(entries, 1.8)
            world.store.write_again()
            return seen | await watch_for(entries, 5)

        self.assertEqual(self.play(scenario), {True})

    def test_record_that_is_not_written_again(self):
        """Guards against an evacuation that the store knows nothing of.

        Entries would keep it until their end, also those that only ask others.
        """

        async def scenario(world, *entries):
            world.store.go_back(KNOWN_S + 0.5)
            await anyio.sleep(END_S)
            return await watch_for(entries, 2)

        self.assertEqual(self.play(scenario), {False})

    def test_lost_end(self):
        """Guards against requests after a restore that lost the end.

        What the copy says counts at once, until the end is written again.
        """

        async def scenario(world, *entries):
            await anyio.sleep(3)
            world.evacuate(ends=True)
            await anyio.sleep(KNOWN_S)
            world.store.go_back(KNOWN_S + 1)
            await anyio.sleep(KNOWN_S)
            seen = await watch_for(entries, 0.5)
            world.store.write_again()
            await anyio.sleep(END_S)
            return seen, await watch_for(entries, 2)

        self.assertEqual(self.play(scenario), ({True}, {False}))

    def test_start_beside_others_after_a_restore(self):
        """Guards against a new entry that knows the restored copy only.

        It reads the store before the operator has written again, and asks those
        that know better.
        """

        async def scenario(world, *entries):
            world.store.go_back(KNOWN_S + 0.5)
            late = await world.start(5)
            seen = await watch_for([late], 1.5)
            world.store.write_again()
            return seen | await watch_for([late], 3)

        self.assertEqual(self.play(scenario), {True})

    def test_all_killed(self):
        """Guards against an evacuation that only memory holds."""

        async def scenario(world, *entries):
            world.kill_all()
            late = await world.start(0, life=2)
            return await watch_for([late], 3)

        self.assertEqual(self.play(scenario), {True})

    def test_invalid_configuration(self):
        """Guards against an evacuation that an invalid version holds back.

        All entries then read at longer intervals.
        """

        async def scenario(world, *entries):
            world.store.put_json(*CONFIG, {'version': 9, 'routes': [{}]})
            await anyio.sleep(5)
            seen = []
            for ends in (True, False):
                world.evacuate(ends=ends)
                await anyio.sleep(BOUND_S)
                seen.append(await watch_for(entries, 2))
            return seen

        self.assertEqual(self.play(scenario), [{False}, {True}])

    def test_store_is_down(self):
        """Guards against an end by a lost contact.

        An entry that starts meanwhile gets configuration and evacuations from
        the others.
        """

        async def scenario(world, *entries):
            world.store.status = 503
            entries[2].kill()
            late = await world.start(2, life=2)
            seen = await watch_for(entries[:2], 6)
            return seen, late.state.version, is_evacuated(late)

        self.assertEqual(self.play(scenario), ({True}, 1, True))


class OlderEntry(LivingEntry):
    """Entry of an older version, without evacuations."""

    def __init__(self, *args):
        super().__init__(*args)
        state = self.state
        state.get_store_age_s = lambda now: max(
            state.proof.get_read_age_s(now), state.get_list_age_s(now)
        )
        state.fleet.evacuations.apply = lambda found: False
        get_candidates = self.gossip.get_candidates
        self.gossip.get_candidates = lambda now: [
            ReaderCandidate(one.name, one.age_s) for one in get_candidates(now)
        ]

    async def _arrive(self, raw, other):
        fields = json.loads(raw)
        for name in NEW_FIELDS:
            fields.pop(name, None)
        await super()._arrive(json.dumps(fields).encode(), other)


class RolloutTest(unittest.TestCase):
    """Entries of two versions serve together."""

    def play(self, older, scenario):
        """Run a scenario; the numbers in `older` have the older version."""

        def make(number, *args):
            kind = OlderEntry if number in older else LivingEntry
            return kind(number, *args)

        async def begin(life):
            await anyio.sleep(8)
            newer = [
                entry
                for entry in life.entries
                if not isinstance(entry, OlderEntry)
            ]
            return await scenario(life, newer)

        return run_life(COUNT, (1, 2), begin, make)

    def test_reader_of_an_older_version(self):
        """Guards against entries that only ask one that knows nothing.

        One of them reads the store for the newer ones, as often as the reader
        of the older ones does; the others ask it.
        """

        async def scenario(life, newer):
            calls = sum(entry.reading.calls for entry in life.entries)
            await anyio.sleep(WATCH_S)
            calls = sum(entry.reading.calls for entry in life.entries) - calls
            life.store.evacuated = frozenset(('dc',))
            await anyio.sleep(KNOWN_S)
            seen = await watch_for(newer, 3)
            life.store.evacuated = frozenset()
            await anyio.sleep(KNOWN_S)
            return seen, await watch_for(newer, 3), calls

        for older in (range(6), range(0, 12, 2), range(11)):
            begun, ended, calls = self.play(older, scenario)
            self.assertEqual((begun, ended), ({True}, {False}))
            self.assertLess(calls, 2 * WATCH_S / READ_INTERVAL_S + 6)

    def test_store_is_down(self):
        """Guards against an entry without configuration beside older ones.

        They are asked if none else knows anything recent.
        """

        async def scenario(life, newer):
            life.store.down = True
            newer[0].state.catalog = None
            await anyio.sleep(3)
            return newer[0].state.version

        self.assertEqual(self.play(range(11), scenario), 1)


class ExchangeTest(unittest.TestCase):
    """Single updates between two entries."""

    def setUp(self):
        self.store = Store(1)

    def play(self, scenario):
        """Run a scenario; the reader knows of an evacuation."""

        async def begin(reader, own):
            self.store.evacuated = frozenset(('dc',))
            await reader.read()
            return await scenario(reader, own)

        return run_entries(2, self.store, begin)

    def test_list_that_may_be_older(self):
        """Guards against a newer list that is never fetched.

        It was not certainly newer at first, while the list of targets was, and
        nothing has changed at the reader since.
        """

        async def scenario(reader, own):
            now = anyio.current_time()
            own.state.fleet.evacuations.renew(now - 1, now + 1)
            await own.ask(reader)
            seen = [is_evacuated(own)]
            await anyio.sleep(2)
            await reader.read()
            await own.ask(reader)
            return [*seen, is_evacuated(own)]

        self.assertEqual(self.play(scenario), [False, True])

    def test_evacuation_that_the_reader_missed(self):
        """Guards against an end that is never fetched.

        The evacuation began and ended between two reads of the reader, where
        nothing has changed, but an own read saw it.
        """

        async def scenario(reader, own):
            self.store.evacuated = frozenset()
            await reader.read()
            await own.ask(reader)
            self.store.evacuated = frozenset(('dc',))
            await own.read()
            seen = [is_evacuated(own)]
            self.store.evacuated = frozenset()
            await reader.read()
            await own.ask(reader)
            return [*seen, is_evacuated(own)]

        self.assertEqual(self.play(scenario), [True, False])

    def test_read_of_an_older_copy(self):
        """Guards against an end by what a store said before its restore."""

        async def scenario(reader, own):
            await own.ask(reader)
            own.state.restores.record_epoch(2, 0)
            own.state.restores.set_recorded_epoch(2)
            own.reading.epoch = 2
            self.store.evacuated = frozenset()
            await own.read()
            return is_evacuated(own)

        self.assertTrue(self.play(scenario))

    def test_older_version_sends_none(self):
        """Guards against an end by an update without the field."""

        async def scenario(reader, own):
            await own.ask(reader)
            reader.state.fleet.evacuations = Evacuations()
            reader.state.fleet.revision += 5
            await reader.ask(own)
            await own.ask(reader)
            return is_evacuated(own)

        self.assertTrue(self.play(scenario))

    def test_invalid_field(self):
        """Guards against an update that is lost with one of its fields."""

        async def scenario(reader, own):
            await own.ask(reader)
            encode = reader.exchange.encode_update
            seen = []
            for number, invalid in enumerate(INVALID_FIELDS):
                plain = {
                    **json.loads(encode()),
                    EVACUATED_FIELD: invalid,
                    'leaving': [f't{number}'],
                }
                raw = json.dumps(plain)
                reader.exchange.encode_update = lambda raw=raw: raw
                await own.follower._fetch(reader.name)
                known = f't{number}' in own.state.fleet.draining
                seen.append((known, own.state.is_evacuated()))
            return set(seen)

        self.assertEqual(self.play(scenario), {(True, True)})
