"""Evidence of how an attempt without an answer failed."""

import unittest
from unittest import mock

import anyio

from tests.relaying import (
    AbortedAnswer,
    Hang,
    Reset,
    StubTarget,
    make_answer,
    make_route,
    make_stream,
    run_world,
)
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import FailureKind, RouteKind

STREAM = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.1, pause_s=0.1
)
BROKEN = anyio.BrokenResourceError()
BEGUN = make_stream(1, 2, end=b'')


class TunnelTest(unittest.TestCase):
    """Tunnels, which end with the target or with the entry between."""

    # Guards against crashes that count against nothing, since targets are
    # reached through other entries.
    def test_broken_tunnel_is_investigated(self):
        async def main():
            stream = mock.Mock(receive=mock.AsyncMock(side_effect=BROKEN))
            wire = Wire(stream, is_tunnel=True)
            with self.assertRaises(WireError) as caught:
                await wire.read_head()
            return caught.exception.failure_kind

        self.assertIs(anyio.run(main), FailureKind.closed)


class EvidenceTest(unittest.TestCase):
    """Each kind of failure has its own evidence."""

    def check(self, answer, sign):
        """Check the evidence of the first attempt at a target."""
        found = []

        async def scenario(world):
            send = world.relayer.sender.send

            async def note(*args):
                found.append(await send(*args))
                return found[-1]

            world.relayer.sender.send = note
            await world.ask()

        target = StubTarget(answer, make_answer(status=500))
        run_world(STREAM, [target], scenario)
        self.assertIs(found[0].failure_kind, sign)

    def test_reset_before_the_head(self):
        self.check(Reset, FailureKind.closed)

    def test_closed_before_the_head(self):
        self.check(AbortedAnswer(b'', 0), FailureKind.closed)

    def test_closed_in_the_head(self):
        self.check(AbortedAnswer(BEGUN[:20], 0), FailureKind.closed)

    def test_closed_in_the_middle_of_a_stream(self):
        self.check(AbortedAnswer(BEGUN, 0), FailureKind.closed)

    def test_silent(self):
        self.check(Hang, FailureKind.silent)

    def test_invalid_answer(self):
        self.check(b'what?\r\n\r\n', FailureKind.garbled)

    def test_answer_is_no_failure(self):
        self.check(make_answer(status=500), FailureKind.none)


class ConnectTest(unittest.TestCase):
    """Failures to connect."""

    def test_connection_refused(self):
        async def main():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            await Wire.connect(f'127.0.0.1:{port}')

        with self.assertRaises(WireError) as found:
            anyio.run(main)
        self.assertIs(found.exception.failure_kind, FailureKind.refused)
