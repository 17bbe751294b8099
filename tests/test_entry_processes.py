"""Signals and restarts of real entry processes."""

import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from random import Random

import anyio
import httpx

from tests.soak.callers import HOST
from tests.soak.checks import UNTIMED_CHECKS
from tests.soak.entries import ROOT
from tests.soak.world import PRODUCT, Size, World

#: Far above what any scenario takes on a busy machine, in seconds.
TIMEOUT_S = 60
SIZE = Size(entries=2, engines=2, plain=1)
#: Token counts of a stream of about 1.5 s.
LONG_STREAM = '1000,1300'
#: Starts an entry up to its first import, and prints whether SIGHUP is ignored.
PROBE = """
import signal, sys
import trestledock.platform

class Probe:
    def find_spec(self, name, path=None, target=None):
        if name == 'trestledock.entry':
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
            sys.exit(0)

assert 'trestledock.entry' not in sys.modules
sys.meta_path.insert(0, Probe())
trestledock.platform.run()
"""


def play(scenario, size=SIZE, command=PRODUCT):
    """Run `scenario(world)` in a world whose entries are ready."""

    async def main():
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as group:
                world = World(size, Random(1), Path(folder), group, command)
                try:
                    await run(world)
                finally:
                    world.end_processes()
                group.cancel_scope.cancel()

    async def run(world):
        with anyio.fail_after(TIMEOUT_S):
            await world.start()
            await wait_for(world.is_ready)
            await scenario(world)

    anyio.run(main)


async def wait_for(check):
    """Wait until a condition holds; the scenario has the timeout."""
    while not check():
        await anyio.sleep(0.05)


async def ask(entry, path, req_id, sizes='', key='key-desk-0', wait_s=8):
    """Send one request on a new connection; return the answer."""
    headers = {
        'Host': HOST,
        'Trestledock-Request-Id': req_id,
        'Trestledock-Request-Deadline': str(wait_s * 1000),
        'Authorization': f'Bearer {key}',
    }
    if sizes:
        headers['Trestledock-Token-Counts'] = sizes
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        return await client.post(f'{entry.front}{path}', headers=headers)


async def stream_while(world, entry, disturb):
    """Request a stream, disturb it once it runs; return its answer."""
    answers = []

    async def stream():
        answers.append(await ask(entry, '/notes/x', 's', LONG_STREAM))

    async with anyio.create_task_group() as group:
        group.start_soon(stream)
        await wait_for(lambda: world.ledger.runs)
        await disturb()
    return answers[0]


class SignalTest(unittest.TestCase):
    """The effect of signals on requests in progress."""

    def test_graceful_shutdown_cuts_nothing(self):
        """A stream that began before SIGTERM is completed after it."""

        async def scenario(world):
            entry = world.entries[0]

            async def end():
                entry.last = True
                await entry.stop_gracefully()

            answer = await stream_while(world, entry, end)
            await entry.ended.wait()
            self.assertEqual(answer.status_code, 200)
            self.assertEqual(answer.content.count(b'\n\n'), 30)
            self.assertEqual(world.ledger.exits, [])

        play(scenario)

    def test_unready_after_sigterm(self):
        """The process reports unready to the balancer while it drains."""

        async def scenario(world):
            entry = world.entries[0]
            entry.ending = True
            entry.send(signal.SIGTERM)
            await wait_for(lambda: not entry.in_rotation)
            log = (entry.folder / f'{entry.name}.log').read_text()
            self.assertIn('"draining"', log)

        play(scenario)

    def test_hang_up_ends_nothing(self):
        """SIGHUP with changed settings cuts no stream and ends no process."""

        async def scenario(world):
            entry = world.entries[0]

            async def hang_up():
                entry.slack += 5
                entry.write_settings()
                for _ in range(3):
                    entry.send(signal.SIGHUP)
                    await anyio.sleep(0.05)

            answer = await stream_while(world, entry, hang_up)
            self.assertEqual(answer.status_code, 200)
            self.assertIsNone(entry.child.poll())
            log = (entry.folder / f'{entry.name}.log').read_text()
            self.assertIn('"reload_asked"', log)

        play(scenario)


class StartTest(unittest.TestCase):
    """Signals before the process is ready."""

    def test_hang_up_is_ignored_before_the_imports(self):
        """SIGHUP doesn't end a process that still imports its modules."""
        completed = subprocess.run(
            (sys.executable, '-c', PROBE),
            cwd=ROOT,
            capture_output=True,
            check=False,
        )
        self.assertEqual(completed.stdout.split(), [b'True'], completed.stderr)


class RestartTest(unittest.TestCase):
    """All entries are killed together, with and without the store."""

    def test_all_at_once(self):
        """All restart with the newest configuration and serve."""

        async def scenario(world):
            world.revoke()
            revoked = world.ledger.changes[-1].name
            await restart_all(world)
            await wait_for(world.is_ready)
            answer = await ask(world.entries[0], '/look/x', 'a', key=revoked)
            self.assertEqual(answer.status_code, 401)
            key = next(iter(world.keys.by_key))
            answer = await ask(world.entries[0], '/look/x', 'b', key=key)
            self.assertEqual(answer.status_code, 200)

        play(scenario)

    def test_without_the_store(self):
        """Without the store: 503 with Retry-After, never 404."""

        async def scenario(world):
            world.store.status = 503
            await restart_all(world)
            entry = world.entries[0]
            answer = None
            while answer is None:
                try:
                    answer = await ask(entry, '/look/x', 'a')
                except httpx.HTTPError:
                    await anyio.sleep(0.1)
            self.assertEqual(answer.status_code, 503)
            self.assertGreater(float(answer.headers['Retry-After']), 0)
            self.assertFalse(entry.in_rotation)
            world.store.status = 200
            await wait_for(world.is_ready)
            answer = await ask(entry, '/look/x', 'b')
            self.assertEqual(answer.status_code, 200)

        play(scenario)


async def restart_all(world):
    """Kill all entries and wait until the new processes run."""
    old = [entry.child for entry in world.entries]
    for entry in world.entries:
        entry.misses = 2
        entry.send(signal.SIGKILL)
    await wait_for(
        lambda: all(
            entry.child is not child
            for entry, child in zip(world.entries, old, strict=True)
        )
    )


class PromiseTest(unittest.TestCase):
    """The checks of the soak test hold for a run without faults."""

    def test_run_without_faults(self):
        async def scenario(world):
            world.start_callers()
            await wait_for(lambda: len(world.ledger.requests) > 60)
            world.finished = True
            await wait_for(
                lambda: all(
                    request.ended_at or request.left_at
                    for request in world.ledger.requests.values()
                )
            )
            broken = [
                line for check in UNTIMED_CHECKS for line in check(world.ledger)
            ]
            self.assertEqual(broken, [])

        play(scenario, Size(entries=2, engines=3, plain=2, callers=8))
