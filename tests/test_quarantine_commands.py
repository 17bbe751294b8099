"""What an operator does about quarantined names, against a stand-in store."""

import threading
import unittest
from contextlib import contextmanager

import anyio
from click.testing import CliRunner

from tests.soak.serving import serve_stream
from tests.soak.store import Store
from trestledock.cli import main
from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._quarantine import QuarantineTopic
from trestledock.relay import Quarantine, QuarantineRecord

AGES_S = (0.0, 1.0, 2.0, 3.0, 4.0)
CRASHED = tuple(f't{number}@1' for number in range(len(AGES_S)))
RECORD = QuarantineRecord('part:5c1e', CRASHED, probes=1, ages_s=AGES_S)


@contextmanager
def run_store():
    """Serve a store with one quarantined part; yield its address."""
    started = threading.Event()
    addresses = []
    scopes = []

    async def serve():
        store = Store()
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        addresses.append(f'127.0.0.1:{port}')

        async def serve_one(stream):
            await serve_stream(stream, store.handle)

        async with anyio.create_task_group() as group:
            scopes.append(group.cancel_scope)
            group.start_soon(listener.serve, serve_one)
            topic = QuarantineTopic(addresses[0], StoreEpochs())
            await topic.write_records([RECORD])
            scopes.append(anyio.lowlevel.current_token())
            started.set()
            await anyio.sleep_forever()

    thread = threading.Thread(target=lambda: anyio.run(serve), daemon=True)
    thread.start()
    started.wait(10)
    try:
        yield addresses[0]
    finally:
        anyio.from_thread.run_sync(scopes[0].cancel, token=scopes[1])
        thread.join(10)


def run_command(*words):
    return CliRunner().invoke(main, ('quarantine', *words))


class CommandsTest(unittest.TestCase):
    """Listing and releasing, and clear errors."""

    # Guards against a part that stays refused after its targets were repaired.
    def test_show_and_release(self):
        with run_store() as address:
            shown = run_command('show', '--store', address)
            self.assertIn('part:5c1e: 5 crashes', shown.output)
            released = run_command('release', 'part:5c1e', '--store', address)
            self.assertEqual(released.exit_code, 0, released.output)
            self.assertEqual(run_command('show', '--store', address).output, '')
            self.assertEqual(self.read_blamed(address), ())

    def read_blamed(self, address):
        """Return what an entry blames that knew of the crashes before."""
        quarantine = Quarantine()
        quarantine.merge(RECORD, now=0)
        self.assertEqual(quarantine.get_blamed(), ({'part:5c1e'},))
        topic = QuarantineTopic(address, StoreEpochs())
        for record in anyio.run(topic.read_records, 0):
            quarantine.merge(record, now=9)
        return quarantine.get_blamed()

    def test_unknown_name(self):
        with run_store() as address:
            found = run_command('release', 'part:none', '--store', address)
        self.assertEqual(found.exit_code, 1)
        self.assertIn('part:none is not quarantined', found.output)

    def test_no_store(self):
        found = run_command('show', '--store', '127.0.0.1:9')
        self.assertEqual(found.exit_code, 2)
        self.assertIn('127.0.0.1:9', found.output)
