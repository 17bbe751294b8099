"""The quarantine outlives the entries that observed the crashes."""

import unittest
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from tests.virtual_loop import run_virtually
from trestledock.entry import DirectoryError, LogPosition, StoredQuarantine
from trestledock.entry._quarantine_sync import (
    MIN_CLAIM_INTERVAL_S,
    POLL_TIMEOUT_S,
    Keeping,
)
from trestledock.entry._state import EntryState
from trestledock.relay import FailureKind

TARGETS = tuple(make_listed(number, 80 + number) for number in range(5))


class Topic:
    """The store's quarantine topic, in memory."""

    def __init__(self):
        self.records = {}
        self.down = False
        self.calls = 0
        self.grown = anyio.Event()

    async def read_records(self, wait_s):
        self._check()
        with anyio.move_on_after(wait_s):
            await self.grown.wait()
        self._check()
        return tuple(self.records.values())

    async def write_records(self, records, expected_end=None):
        self._check()
        for record in records:
            self.records[record.name] = record
        self.grown.set()
        self.grown = anyio.Event()
        return True

    async def read_whole(self):
        self._check()
        return StoredQuarantine((), LogPosition(0, None))

    def _check(self):
        self.calls += 1
        if self.down:
            raise DirectoryError('down')


class Entry:
    """The part of an entry that isolates requests."""

    def __init__(self, topic, *, reads):
        state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
        self.isolation = state.isolation
        self.isolation.hooks.reconnect = self._look
        self.keeping = Keeping(state, topic, lambda: reads)

    async def observe_crashes(self, count):
        """Observe crashes of several targets during a request."""
        for target in TARGETS[:count]:
            await self.isolation.investigate_failure(
                'f', FailureKind.closed, [target]
            )

    async def _look(self, _):
        return FailureKind.refused


def run_entries(scenario, *reads):
    """Run `scenario(topic, *entries)` with entries that read, or don't."""

    async def main():
        topic = Topic()
        entries = [Entry(topic, reads=is_reader) for is_reader in reads]
        async with anyio.create_task_group() as group:
            for entry in entries:
                group.start_soon(entry.keeping.run)
            await scenario(topic, *entries)
            group.cancel_scope.cancel()

    run_virtually(main)


class KeepingTest(unittest.TestCase):
    """Single writes, reads by the reader, and an unavailable store."""

    def test_quarantine_reaches_later_entry(self):
        async def scenario(topic, one, other):
            await one.observe_crashes(2)
            await anyio.sleep(1)
            self.assertEqual(topic.records, {})
            await one.observe_crashes(3)
            await anyio.sleep(1)
            self.assertTrue(other.isolation.is_quarantined('f'))

        run_entries(scenario, False, True)

    def test_records_are_saved_when_store_is_back(self):
        async def scenario(topic, one):
            topic.down = True
            await one.observe_crashes(3)
            await anyio.sleep(20)
            calls = topic.calls
            self.assertLess(calls, 10)
            topic.down = False
            await anyio.sleep(10)
            self.assertEqual(list(topic.records), ['f'])

        run_entries(scenario, False)

    def test_reader_while_store_is_unavailable(self):
        """It backs off exponentially, and reads once the store is back."""

        async def scenario(topic, one, other):
            topic.down = True
            await anyio.sleep(60)
            self.assertLess(topic.calls, 20)
            topic.down = False
            await other.observe_crashes(3)
            await anyio.sleep(10)
            self.assertTrue(one.isolation.is_quarantined('f'))

        run_entries(scenario, True, False)

    def test_long_polls_are_few(self):
        async def scenario(topic, one):
            await anyio.sleep(POLL_TIMEOUT_S * 10.5)
            self.assertLessEqual(topic.calls, 22)

        run_entries(scenario, True)

    def test_no_probe_while_store_is_unavailable(self):
        async def scenario(topic, one):
            await one.observe_crashes(3)
            await anyio.sleep(one.isolation.get_retry_after_s('f'))
            topic.down = True
            calls = topic.calls
            for _ in range(100):
                self.assertFalse(await one.isolation.may_probe('f'))
            self.assertEqual(topic.calls - calls, 1)
            topic.down = False
            await anyio.sleep(MIN_CLAIM_INTERVAL_S)
            self.assertTrue(await one.isolation.may_probe('f'))

        run_entries(scenario, False)
