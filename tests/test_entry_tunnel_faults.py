"""What may happen to a request while it goes through another entry."""

import unittest
from dataclasses import replace
from itertools import product
from types import MappingProxyType, SimpleNamespace

import anyio

from tests.relaying import (
    RESUMABLE,
    WHOLE,
    AbortedAnswer,
    DelayedAnswer,
    StubTarget,
    get_event_ids,
    make_answer,
    make_route,
)
from tests.test_entry_answer_ends import EVENTS, HEAD, ONCE, STREAM
from tests.tunnelling import (
    BreakingLink,
    EchoTarget,
    ResumableTarget,
    make_peer,
    run_cut_world,
)
from trestledock.relay import Placement

#: Two events in each half.
HALF = WHOLE.index(b'id: 3') - 4
SLOW_STREAM = replace(RESUMABLE, objective_s=5, pause_s=5)


class ReservationTest(unittest.TestCase):
    """Memory at helpers that this entry reaches through another one."""

    def play(self, helper, scenario):
        """Reserve memory at a helper behind a tunnel; then run a scenario."""

        async def run(cut_world):
            await cut_world.add_neighbour()
            cut_world.cut()
            cut_world.doubt()
            own, other = cut_world.state.fleet.targets.values()
            placement = Placement(
                own, (other,), reservations=((other.incarnation, 500),)
            )
            job = SimpleNamespace(call=SimpleNamespace(req_id='r1'))
            tickets = cut_world.world.relayer.sender.tickets
            ids = {}
            is_reserved = await tickets.reserve(job, placement, ids)
            await scenario(tickets, ids, is_reserved)

        run_cut_world(make_route(), [StubTarget(), helper], run)

    async def wait_for_orders(self, helper, count):
        """Wait until a helper has received a number of orders."""
        with anyio.fail_after(5):
            while len(helper.requests) < count:
                await anyio.sleep(0.01)

    # Guards against memory that is reserved through a tunnel and stays so.
    def test_reserved_and_released(self):
        helper = EchoTarget()

        async def scenario(tickets, ids, is_reserved):
            self.assertTrue(is_reserved)
            tickets.release(ids)
            await self.wait_for_orders(helper, 2)

        self.play(helper, scenario)
        for head in helper.requests:
            self.assertTrue(head.startswith('POST /order'))

    # Guards against memory that may be reserved, as the answer was lost on its
    # way, and is never released.
    def test_lost_answer_is_released(self):
        helper = StubTarget(AbortedAnswer(b'HTTP/1.1 20', 0), make_answer())

        async def scenario(tickets, ids, is_reserved):
            self.assertFalse(is_reserved)
            self.assertEqual(ids, {})
            await self.wait_for_orders(helper, 2)

        self.play(helper, scenario)


class RevokedKeyTest(unittest.TestCase):
    """A key that is revoked while a tunnel opens."""

    # Guards against a request that is written with a key that is known to be
    # revoked by then.
    def test_nothing_is_written(self):
        target = StubTarget(make_answer())

        async def run(cut_world):
            await cut_world.add_neighbour()
            cut_world.cut()
            cut_world.doubt()
            state = cut_world.state
            open_tunnel = cut_world.connector.open_tunnel

            async def open_slowly(listed):
                wire = await open_tunnel(listed)
                state.catalog = replace(
                    state.catalog, version=2, keys=MappingProxyType({})
                )
                return wire

            cut_world.connector.open_tunnel = open_slowly
            self.assertEqual((await cut_world.ask()).status, 401)

        run_cut_world(make_route(), [target], run)
        self.assertEqual(target.requests, [])


class NeighbourTest(unittest.TestCase):
    """The other entry is killed, or drains, in mid-answer."""

    def ask(self, route, target, **limits):
        """Return the outcome of a request whose tunnel is closed."""
        outcomes = []

        async def run(cut_world):
            neighbour = await cut_world.add_neighbour()
            link = BreakingLink(
                neighbour.state.settings.peers, resets=False, **limits
            )
            await link.open(cut_world.state.group)
            cut_world.peers.known[neighbour.state.member] = make_peer(
                f'127.0.0.1:{link.port}'
            )
            cut_world.cut()
            cut_world.doubt()
            outcomes.append(await cut_world.ask())

        run_cut_world(route, [target], run)
        return outcomes[0]

    # Guards against an answer without framing that is taken for whole as the
    # other entry was killed, which closes the tunnel.
    def test_killed_neighbour_ends_no_answer(self):
        answers = ((STREAM, EVENTS), (ONCE, b'some text'))
        for limit, (route, body) in product(range(60, 420, 30), answers):
            target = StubTarget(AbortedAnswer(HEAD + body, 0.05))
            outcome = self.ask(route, target, down=limit)
            with self.subTest(limit=limit, body=body):
                is_whole = outcome.whole and outcome.status == 200
                self.assertTrue(outcome.body == body or not is_whole)

    # Guards against pieces of a stream that are lost or repeated as the other
    # entry is killed.
    def test_stream_goes_on_or_is_cut(self):
        for limit in range(150, 700, 50):
            outcome = self.ask(RESUMABLE, ResumableTarget(), down=limit)
            with self.subTest(limit=limit):
                ids = get_event_ids(outcome)
                self.assertEqual(ids, list(range(1, len(ids) + 1)))
                if outcome.whole and outcome.status == 200:
                    self.assertEqual(ids, [1, 2, 3, 4])

    # Guards against a neighbour that ends and cuts the answers of others.
    def test_draining_neighbour_passes_on_the_rest(self):
        target = StubTarget(DelayedAnswer(WHOLE[:HALF], WHOLE[HALF:], 0.5))

        async def run(cut_world):
            neighbour = await cut_world.add_neighbour()
            cut_world.cut()
            cut_world.doubt()

            async def drain():
                await target.wait_for_request()
                neighbour.state.draining = True
                neighbour.server.stop.set()

            async with anyio.create_task_group() as group:
                group.start_soon(drain)
                outcome = await cut_world.ask()
            self.assertEqual(get_event_ids(outcome), [1, 2, 3, 4])
            self.assertTrue(outcome.whole)
            self.assertEqual(len(target.requests), 1)

        run_cut_world(SLOW_STREAM, [target], run)
