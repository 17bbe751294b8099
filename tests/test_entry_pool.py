"""What is seen of a target that is connected to once more."""

import unittest

import anyio
from anyio.abc import SocketAttribute

from tests.relaying import make_listed
from trestledock.entry._pool import Pool
from trestledock.relay import FailureKind


def look(handle, closes_after_s=None):
    """Look at a target that handles connections so; return what is seen."""
    found = []

    async def main():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            scope = anyio.CancelScope()
            group.start_soon(serve, listener, handle, scope)
            target = make_listed(0, port)
            pool = Pool(group.start_soon)
            if closes_after_s is not None:
                group.start_soon(close_later, listener, scope, closes_after_s)
            found.append(await pool.check_connection(target))
            found.append(len(pool._idle['t0']))
            group.cancel_scope.cancel()

    anyio.run(main)
    return found


async def serve(listener, handle, scope):
    with scope:
        await listener.serve(handle)


async def close_later(listener, scope, wait_s):
    await anyio.sleep(wait_s)
    scope.cancel()
    await anyio.lowlevel.checkpoint()
    await listener.aclose()


async def stay(stream):
    async with stream:
        await anyio.sleep_forever()


async def leave(stream):
    await stream.aclose()


class LookTest(unittest.TestCase):
    """Targets that live, are full, or are just ending."""

    def test_one_that_lives(self):
        """The connection is kept for the next request."""
        self.assertEqual(look(stay), [FailureKind.none, 1])

    def test_one_that_closes_what_is_too_much(self):
        self.assertEqual(look(leave), [FailureKind.closed, 0])

    def test_one_that_is_just_ending(self):
        """It still accepts, closes that, and then nobody listens."""

        self.assertEqual(look(stay, 0.005), [FailureKind.refused, 0])
