"""
Requests during the shutdown of an entry process.

Guards against callers that get neither an answer nor a refusal although the
entry has read their whole request, as seen in planned restarts.  Real processes
run on loopback; each test forces one way in which a connection can end between
the last byte read and the last byte answered.
"""

import signal
import socket
import unittest

import anyio
import httpx

from tests.soak.callers import HOST
from tests.soak.entries import PORTS
from tests.soak.world import PRODUCT, Size
from tests.test_entry_processes import (
    ask,
    play,
    stream_while,
    wait_for,
)

#: Requests are ended 4.3 s after the request to stop.
SIZE = Size(entries=1, engines=1, plain=1, grace_s=5)
NARROW = ('tests.soak.narrow',)
#: Far above the grace period, in seconds.
LONG_S = 40
#: Token counts of a stream of some 15 s that fills an engine's memory.
FULL_STREAM = '200000,13000'
#: A request id that makes a target's body some 40 KB long.
LONG_ID = 'l' * 2000
RECEIVE_BYTES = 4096


def read_log(entry):
    """Return the log of a process so far."""
    return (entry.folder / f'{entry.name}.log').read_text()


async def wait_for_log(entry, *words):
    """Wait until a line of the log has all words."""

    def is_logged():
        return any(
            all(f'"{word}"' in line for word in words)
            for line in read_log(entry).splitlines()
        )

    await wait_for(is_logged)


async def begin_shutdown(entry):
    """Ask a process to stop, and wait until it drains."""
    entry.ending = True
    entry.last = True
    entry.send(signal.SIGTERM)
    await wait_for_log(entry, 'draining')


async def wait_for_drain_delay(entry):
    """Wait until new connections are no longer accepted."""
    while True:
        try:
            stream = await anyio.connect_tcp(entry.host, PORTS['front'])
        except OSError:
            return
        await stream.aclose()
        await anyio.sleep(0.02)


def open_narrow(entry):
    """Return a connection with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.connect((entry.host, PORTS['front']))
    return sock


def make_request(method, path, req_id, length=0):
    """Return the bytes of a request head."""
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Trestledock-Request-Id: {req_id}',
        f'Trestledock-Request-Deadline: {LONG_S * 1000}',
        'Authorization: Bearer key-desk-0',
        f'Content-Length: {length}',
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def send_half(entry):
    """Send a request with half of its body; return its connection."""
    sock = socket.create_connection((entry.host, PORTS['front']))
    sock.sendall(make_request('POST', '/book/x', 'h', length=4))
    sock.sendall(b'ab')
    return sock


def read_all(sock):
    """Read until the connection ends; return the answer's head and body."""
    raw = b''
    while True:
        try:
            more = sock.recv(RECEIVE_BYTES)
        except ConnectionError:
            break
        if not more:
            break
        raw += more
    head, _, body = raw.partition(b'\r\n\r\n')
    return head.decode(), body


class Asked:
    """A request in the background; `answer` is None if it was cut."""

    def __init__(self, group, *args, **fields):
        self.answer = None
        self.done = anyio.Event()
        group.start_soon(self._run, args, fields)

    async def _run(self, args, fields):
        try:
            self.answer = await ask(*args, **fields)
        except httpx.HTTPError:
            self.answer = None
        self.done.set()


def lift_timeouts(world):
    """Raise the routes' timeouts so that no request ends or fails by them."""
    world.objective_s = LONG_S
    for name in world.timeouts_s:
        world.timeouts_s[name] = LONG_S
    world.publish()


async def wait_for_version(world, entry):
    """Wait until an entry has applied the newest version."""
    wanted = f'"version":{world.version}'
    await wait_for(lambda: wanted in read_log(entry).replace(' ', ''))


class EndTest(unittest.TestCase):
    """The end of the grace period, for each state of a request."""

    def check(self, scenario, size=SIZE, command=PRODUCT):
        """Run a scenario whose requests only end by the shutdown."""

        async def run(world):
            entry = world.entries[0]
            lift_timeouts(world)
            await wait_for_version(world, entry)
            async with anyio.create_task_group() as group:
                await scenario(world, entry, group)
                group.cancel_scope.cancel()
            self.assertEqual(world.ledger.exits, [])

        play(run, size, command)

    def test_waiting_is_refused(self):
        """A request that still waits for placement is refused.

        The only engine is full until after the shutdown.  Guards against a
        connection that ends without an answer, or with an error that promises
        nothing: the shutdown cancelled everything, so waiting requests did not
        reach their refusal.
        """

        async def scenario(world, entry, group):
            full = Asked(
                group, entry, '/ledgers/x', 'f', FULL_STREAM, wait_s=LONG_S
            )
            await wait_for(lambda: world.ledger.runs)
            await begin_shutdown(entry)
            waiting = Asked(
                group, entry, '/ledgers/x', 'w', FULL_STREAM, wait_s=LONG_S
            )
            await waiting.done.wait()
            await entry.ended.wait()
            self.assertIsNone(full.answer)
            self.assertIsNotNone(waiting.answer)
            self.assertEqual(waiting.answer.status_code, 503)
            self.assertGreater(float(waiting.answer.headers['Retry-After']), 0)
            self.assertEqual([run.req_id for run in world.ledger.runs], ['f'])

        self.check(scenario)

    def test_sent_request_is_answered_as_failed(self):
        """A request that its target doesn't answer gets an error.

        The target is mute.  Guards against a connection that ends without an
        answer, or with the server library's own answer, which is not logged:
        the shutdown cancelled everything.
        """

        async def scenario(world, entry, group):
            for target in world.targets:
                target.fault_shares.mute = 1
            sent = Asked(group, entry, '/book/x', 'b', wait_s=LONG_S)
            await wait_for(lambda: world.ledger.runs)
            await begin_shutdown(entry)
            await sent.done.wait()
            await entry.ended.wait()
            self.assertIsNotNone(sent.answer)
            self.assertEqual(sent.answer.status_code, 502)
            self.assertEqual(len(world.ledger.runs), 1)

        self.check(scenario)

    def test_slow_caller_gets_all(self):
        """A caller that reads slowly gets the complete answer.

        The caller reads nothing until the process has ended or visibly waits.
        Guards against a truncated answer: a request counted as finished once
        its answer was in the process's own write buffer, which was dropped.
        """

        async def scenario(world, entry, group):
            sock = open_narrow(entry)
            await begin_shutdown(entry)
            sock.sendall(make_request('GET', '/look/x', LONG_ID))
            await wait_for_log(entry, 'answered')
            await wait_for_drain_delay(entry)
            with anyio.move_on_after(0.5):
                await entry.ended.wait()
            head, body = await anyio.to_thread.run_sync(read_all, sock)
            sock.close()
            self.assertIn(' 200 ', head.splitlines()[0])
            self.assertIn(f'content-length: {len(body)}', head.lower())
            await entry.ended.wait()

        self.check(scenario, command=NARROW)

    def test_changed_time_to_stop(self):
        """The grace period is that of the newest settings file.

        The file gets a shorter grace period, followed by SIGHUP.  Guards
        against a request without an answer because the process is killed before
        it ends by itself: the file was read again but not applied.
        """

        async def scenario(world, entry, group):
            for target in world.targets:
                target.fault_shares.mute = 1
            sent = Asked(group, entry, '/book/x', 'b', wait_s=LONG_S)
            await wait_for(lambda: world.ledger.runs)
            entry.grace_s = SIZE.grace_s
            entry.write_settings()
            entry.send(signal.SIGHUP)
            await wait_for_log(entry, 'reload_asked')
            entry.last = True
            await entry.stop_gracefully()
            await sent.done.wait()
            self.assertIsNotNone(sent.answer)
            self.assertEqual(sent.answer.status_code, 502)

        self.check(scenario, Size(entries=1, engines=1, plain=1, grace_s=20))

    def test_half_read_is_served(self):
        """A request whose body arrives after the drain delay is served."""

        async def scenario(world, entry, group):
            sock = send_half(entry)
            await begin_shutdown(entry)
            await wait_for_drain_delay(entry)
            sock.sendall(b'cd')
            head, _ = await anyio.to_thread.run_sync(read_all, sock)
            sock.close()
            self.assertIn(' 200 ', head.splitlines()[0])
            await entry.ended.wait()

        self.check(scenario)

    # Guards against a 500, which says nothing, to a request that has not run.
    def test_half_read_at_the_end_is_refused(self):
        """A request whose body never becomes complete."""

        async def scenario(world, entry, group):
            sock = send_half(entry)
            await begin_shutdown(entry)
            head, _ = await anyio.to_thread.run_sync(read_all, sock)
            sock.close()
            self.assertIn(' 503 ', head.partition('\r\n')[0])
            await entry.ended.wait()
            self.assertEqual(world.ledger.runs, [])

        self.check(scenario)


class SettingsTest(unittest.TestCase):
    """A hang-up signal while the settings file can't be read."""

    def check(self, spoil):
        async def scenario(world):
            entry = world.entries[0]
            path = entry.write_settings()
            answer = await stream_while(
                world, entry, lambda: self.hang_up(entry, path, spoil)
            )
            self.assertEqual(answer.status_code, 200)
            self.assertEqual(answer.content.count(b'\n\n'), 30)
            self.assertEqual(world.ledger.exits, [])
            self.assertIsNone(entry.child.poll())

        play(scenario, SIZE)

    async def hang_up(self, entry, path, spoil):
        """Damage the file, send SIGHUP, and wait until it is handled."""
        spoil(path)
        entry.send(signal.SIGHUP)
        before = entry.child
        await wait_for(
            lambda: 'reload' in read_log(entry) or before.poll() is not None
        )
        self.assertIsNone(before.poll())

    def test_half_written(self):
        """The process continues with its current settings.

        Guards against the end of the process and all its connections by an
        uncaught error of reading the file.
        """
        self.check(lambda path: path.write_text(path.read_text()[:40]))

    def test_missing(self):
        """A file that is being replaced doesn't end the process."""
        self.check(lambda path: path.unlink())

    def test_other_shape(self):
        """A table in place of a string doesn't end the process."""
        self.check(
            lambda path: path.write_text(
                path.read_text().replace('[listen]', '[[listen]]')
            )
        )


class MoreSignalsTest(unittest.TestCase):
    """Signals during the shutdown."""

    def test_signals_while_ending(self):
        """Signals have no effect until the process has exited.

        Guards against a process killed by a signal: the handlers were removed
        before the shutdown was finished.
        """

        async def scenario(world):
            entry = world.entries[0]

            async def end():
                await begin_shutdown(entry)
                entry.send(signal.SIGHUP)
                while entry.child.poll() is None:
                    entry.send(signal.SIGTERM)
                    entry.send(signal.SIGHUP)
                    await anyio.sleep(0.001)

            answer = await stream_while(world, entry, end)
            self.assertEqual(answer.status_code, 200)
            self.assertEqual(answer.content.count(b'\n\n'), 30)
            await entry.ended.wait()
            self.assertEqual(world.ledger.exits, [])

        play(scenario, SIZE)
