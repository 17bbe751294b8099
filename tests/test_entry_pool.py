"""The failure kind found by another connection to a target."""

import unittest

import anyio
from anyio.abc import SocketAttribute

from tests.relaying import make_listed
from trestledock.entry._pool import Pool
from trestledock.relay import FailureKind


def check_connection(handle, closes_after_s=None):
    """Return a target's failure kind and the number of idle connections."""
    results = []

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
            results.append(await pool.check_connection(target))
            results.append(len(pool._idle['t0']))
            group.cancel_scope.cancel()

    anyio.run(main)
    return results


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


class CheckConnectionTest(unittest.TestCase):
    """Targets that run, are at their connection limit, or are exiting."""

    def test_running_target(self):
        """The connection is kept for the next request."""
        self.assertEqual(check_connection(stay), [FailureKind.none, 1])

    def test_target_at_its_connection_limit(self):
        self.assertEqual(check_connection(leave), [FailureKind.closed, 0])

    def test_exiting_target(self):
        """It accepts, closes the connection, and then refuses connections."""

        self.assertEqual(
            check_connection(stay, 0.005), [FailureKind.refused, 0]
        )
