"""A target restarts under its id, along the whole path of an entry.

Nothing known about the old incarnation applies to the new one: its address,
whether it drains, its health, the memory reserved there, and the outcome of
requests sent to it.
"""

import unittest
from dataclasses import replace

import anyio

from tests.following import Store, run_entries
from tests.relaying import (
    Hang,
    StubTarget,
    AbortedAnswer,
    make_answer,
    make_listed,
    make_route,
    run_world,
)
from trestledock.entry import TargetUpdate
from trestledock.entry._tickets import RENEW_INTERVAL_S, Tickets
from trestledock.relay import RouteKind, Standing

#: Start times of the incarnations, in milliseconds of Unix time.
OLD = 1_775_000_000_000
NEW = OLD + 5_000


def make_born(born, sequence=1, port=80, **fields):
    """Return a record of target 1 as written by one of its incarnations."""
    listed = make_listed(1, port)
    return replace(listed, born=born, sequence=sequence, **fields)


def write(store, *records):
    """Append records of target 1 to the store; None is its removal."""
    store.records.extend(TargetUpdate('t1', record) for record in records)


def get_births(entry):
    """Return the start times of the usable incarnations of target 1."""
    usable = entry.state.fleet.get_usable('svc')
    return [target.born for target in usable if target.target_id == 't1']


class ListTest(unittest.TestCase):
    """Lists from the store and from another entry."""

    def play(self, scenario, *records):
        """Run two entries that have read some records of target 1."""
        store = Store()
        write(store, *records)
        store.records.append(
            TargetUpdate('t2', replace(make_listed(2, 80), born=OLD))
        )
        return run_entries(2, store, lambda *some: scenario(store, *some))

    def test_through_another_entry(self):
        """The new incarnation is learnt from a reader, even after a drain."""

        async def scenario(store, reader, other):
            write(store, make_born(OLD, 91, standing=Standing.draining))
            await reader.read()
            await other.ask(reader)
            before = get_births(other)
            write(store, make_born(NEW))
            await reader.read()
            await other.ask(reader)
            return before, get_births(other)

        self.assertEqual(self.play(scenario, make_born(OLD, 90)), ([], [NEW]))

    def test_outdated_entry(self):
        """The older list of another entry does not bring the old one back."""

        async def scenario(store, behind, other):
            write(store, None, make_born(NEW))
            await other.read()
            await other.ask(behind)
            return get_births(other)

        self.assertEqual(self.play(scenario, make_born(OLD, 90)), [NEW])

    def test_both_within_one_read(self):
        """Start times decide, not the order in the log."""
        records = [make_born(OLD, 90), None, make_born(NEW)]
        late = make_born(OLD, 91, standing=Standing.draining)

        async def scenario(store, reader, _):
            write(store, make_born(NEW, 2), late)
            await reader.read()
            return get_births(reader)

        self.assertEqual(self.play(scenario, *records), [NEW])

    def test_old_incarnation_is_retained(self):
        """The old incarnation's retention ends; the new one is not retained."""

        async def scenario(store, reader, _):
            reader.stand_still(3)
            write(store, None)
            await reader.read()
            retained = set(reader.state.fleet.retained)
            write(store, make_born(NEW))
            await reader.read()
            expired = reader.state.fleet.expire_retained(
                anyio.current_time() + 60
            )
            return retained, expired, get_births(reader)

        found = self.play(scenario, make_born(OLD, 90))
        self.assertEqual(found, ({f't1@{OLD}'}, [], [NEW]))

    def test_old_incarnation_is_retained_elsewhere(self):
        """An entry that retains the old incarnation does not bring it back."""

        async def scenario(store, holds, other):
            holds.stand_still(3)
            write(store, None)
            await holds.read()
            write(store, make_born(NEW), None)
            other.state.fleet.watch.resumed_at = anyio.current_time()
            await other.read()
            await other.ask(holds)
            return get_births(other)

        self.assertEqual(self.play(scenario, make_born(OLD, 90)), [])

    def test_health_is_reset(self):
        """Failures of the old incarnation don't affect the new one.

        Neither does its silence.
        """

        async def scenario(store, reader, _):
            health = reader.state.health
            now = anyio.current_time()
            health.record_silence(f't1@{OLD}', now)
            write(store, make_born(NEW))
            await reader.read()
            suspect = health.is_suspect(f't1@{NEW}', now)
            return suspect, f't1@{OLD}' in health.targets

        found = self.play(scenario, make_born(OLD, 90))
        self.assertEqual(found, (False, False))


class InFlightTest(unittest.TestCase):
    """Requests in flight at a target while it restarts."""

    def play(self, kind, old, new):
        """Send a request; the target restarts while that is in flight."""
        outcomes = []

        async def scenario(world):
            fleet = world.state.fleet
            port = old.port
            fleet.targets.clear()
            fleet.newest.clear()
            fleet.put(make_born(OLD, 90, port))

            async def ask():
                outcomes.append(await world.ask())

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                while not old.requests:
                    await anyio.sleep(0.01)
                fleet.put(make_born(NEW, 1, new.port))

        route = make_route(kind, objective_s=0.3)
        run_world(route, [old, new], scenario)
        return outcomes[0]

    def test_repeat_at_new_incarnation(self):
        """The new incarnation is untried, and gets repeatable requests."""
        old = StubTarget(AbortedAnswer(b''))
        new = StubTarget(make_answer())
        found = self.play(RouteKind.idempotent, old, new)
        self.assertEqual(found.status, 200)
        self.assertEqual(len(new.requests), 1)

    def test_no_repeat_after_unknown_outcome(self):
        """The old incarnation may have run the request: no repetition."""
        old = StubTarget(AbortedAnswer(b''))
        new = StubTarget(make_answer())
        found = self.play(RouteKind.non_idempotent, old, new)
        self.assertEqual(found.status, 502)
        self.assertEqual(new.requests, [])

    def test_connections_are_not_shared(self):
        """An idle connection to the old incarnation is not reused."""
        old = StubTarget(make_answer(), make_answer())
        new = StubTarget(make_answer())

        async def scenario(world):
            fleet = world.state.fleet
            fleet.targets.clear()
            fleet.newest.clear()
            fleet.put(make_born(OLD, 90, old.port))
            await world.ask()
            fleet.put(make_born(NEW, 1, new.port))
            await world.ask()

        run_world(make_route(), [old, new], scenario)
        self.assertEqual((len(old.requests), len(new.requests)), (1, 1))


class ReservationTest(unittest.TestCase):
    """Memory reserved at the old incarnation."""

    def test_not_renewed_at_new_incarnation(self):
        """A renewal would reserve memory there in vain."""
        target = StubTarget(Hang)
        orders = []

        async def scenario(world):
            fleet = world.state.fleet
            holder = make_born(OLD, 90, target.port)
            fleet.put(holder)
            tickets = Tickets(world.state, None, world.dialect)

            async def order(*_):
                orders.append(fleet.get_by_id('t1').born)
                return 200

            tickets._send_control = order
            scope = anyio.CancelScope()
            async with anyio.create_task_group() as group:
                group.start_soon(tickets._renew, scope, holder, 'r1-1', 9)
                await anyio.sleep(RENEW_INTERVAL_S * 1.5)
                fleet.put(make_born(NEW, 1, target.port))

        run_world(make_route(), [target], scenario)
        self.assertEqual(orders, [OLD])
