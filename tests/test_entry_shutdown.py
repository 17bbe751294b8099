"""
Requests at the end of an entry process.

Seen: under planned work alone, callers whose whole request an entry had read
got neither an answer nor a refusal.  Real processes on loopback; each test
forces one way in which a connection can end between the last byte read and the
last byte answered.
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

#: The end comes 4.3 s after the request to stop.
SIZE = Size(entries=1, engines=1, plain=1, grace_s=5)
NARROW = ('tests.soak.narrow',)
#: Far above the time to stop, in seconds.
LONG_S = 40
#: Token counts of a stream of some 15 s that fills an engine's memory.
FULL_STREAM = '200000,13000'
#: Makes a target's body some 40 KB long.
LONG_ID = 'l' * 2000
RECEIVE_BYTES = 4096


def read_log(entry):
    """Return what a process has told so far."""
    return (entry.folder / f'{entry.name}.log').read_text()


async def wait_for_log(entry, *words):
    """Wait until a line of the log has all words."""

    def is_told():
        return any(
            all(f'"{word}"' in line for word in words)
            for line in read_log(entry).splitlines()
        )

    await wait_for(is_told)


async def begin_to_end(entry):
    """Ask a process to stop and wait until it has begun to."""
    entry.ending = True
    entry.last = True
    entry.send(signal.SIGTERM)
    await wait_for_log(entry, 'draining')


async def wait_for_notice_over(entry):
    """Wait until no new connections are taken any more."""
    while True:
        try:
            stream = await anyio.connect_tcp(entry.host, PORTS['front'])
        except OSError:
            return
        await stream.aclose()
        await anyio.sleep(0.02)


def open_narrow(entry):
    """Return a connection that takes few bytes at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.connect((entry.host, PORTS['front']))
    return sock


def make_request(method, path, req_id, length=0):
    """Return the bytes of a request's head."""
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


def read_all(sock):
    """Read until the other side ends; return the answer's head and body."""
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
    """One request in the background; `answer` stays None where it was cut."""

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


def give_time(world):
    """Let no request end by its route's time, nor be refused for it."""
    world.objective_s = LONG_S
    for name in world.timeouts_s:
        world.timeouts_s[name] = LONG_S
    world.publish()


async def wait_for_version(world, entry):
    """Wait until an entry has the newest version in force."""
    wanted = f'"version":{world.version}'
    await wait_for(lambda: wanted in read_log(entry).replace(' ', ''))


class EndTest(unittest.TestCase):
    """The end of the time to stop, for each state of a request."""

    def check(self, scenario, size=SIZE, command=PRODUCT):
        """Play a scenario with much time for requests, up to the end."""

        async def run(world):
            entry = world.entries[0]
            give_time(world)
            await wait_for_version(world, entry)
            async with anyio.create_task_group() as group:
                await scenario(world, entry, group)
                group.cancel_scope.cancel()
            self.assertEqual(world.ledger.exits, [])

        play(run, size, command)

    def test_waiting_is_refused(self):
        """A request that still waits for a place is refused.

        Seen: its connection ends without a word, or with a failure that
        promises nothing.  How: the only engine is full until after the end.
        Cause: at the end everything was cancelled, and whoever waited never
        got to its own ending.
        """

        async def scenario(world, entry, group):
            full = Asked(
                group, entry, '/ledgers/x', 'f', FULL_STREAM, wait_s=LONG_S
            )
            await wait_for(lambda: world.ledger.runs)
            await begin_to_end(entry)
            waiting = Asked(
                group, entry, '/ledgers/x', 'w', FULL_STREAM, wait_s=LONG_S
            )
            await waiting.done.wait()
            await entry.ended.wait()
            self.assertIsNone(full.answer)
            self.assertIsNotNone(waiting.answer)
            self.assertEqual(waiting.answer.status_code, 503)
            self.assertGreater(float(waiting.answer.headers['Retry-After']), 0)
            self.assertEqual([one.req_id for one in world.ledger.runs], ['f'])

        self.check(scenario)

    def test_sent_is_answered_as_failed(self):
        """A request that a target has and doesn't answer gets a failure.

        Seen: the connection ends without a word, or by the server's own
        answer, that no line of the log tells of.  How: the target is mute.
        Cause: as above.
        """

        async def scenario(world, entry, group):
            for target in world.targets:
                target.quirks.mute = 1
            sent = Asked(group, entry, '/book/x', 'b', wait_s=LONG_S)
            await wait_for(lambda: world.ledger.runs)
            await begin_to_end(entry)
            await sent.done.wait()
            await entry.ended.wait()
            self.assertIsNotNone(sent.answer)
            self.assertEqual(sent.answer.status_code, 502)
            self.assertEqual(len(world.ledger.runs), 1)

        self.check(scenario)

    def test_slow_caller_gets_all(self):
        """A caller that reads slowly gets the end of its answer.

        Seen: an answer without its end.  How: the caller reads nothing until
        the process has ended, or is seen to wait.  Cause: a request counted
        as over once its answer was written into the process's own buffer,
        and what was there was dropped.
        """

        async def scenario(world, entry, group):
            sock = open_narrow(entry)
            await begin_to_end(entry)
            sock.sendall(make_request('GET', '/look/x', LONG_ID))
            await wait_for_log(entry, 'answered')
            await wait_for_notice_over(entry)
            with anyio.move_on_after(0.5):
                await entry.ended.wait()
            head, body = await anyio.to_thread.run_sync(read_all, sock)
            sock.close()
            self.assertIn(' 200 ', head.splitlines()[0])
            self.assertIn(f'content-length: {len(body)}', head.lower())
            await entry.ended.wait()

        self.check(scenario, command=NARROW)

    def test_changed_time_to_stop(self):
        """The time to stop is that of the settings file as it is by then.

        Seen: a request gets no answer, since the process is killed before it
        would have ended itself.  How: the file gets a shorter time, with a
        hang-up.  Cause: the file was read again, and nothing was taken over.
        """

        async def scenario(world, entry, group):
            for target in world.targets:
                target.quirks.mute = 1
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
        """A request whose body comes after the notice is served."""

        async def scenario(world, entry, group):
            sock = socket.create_connection((entry.host, PORTS['front']))
            sock.sendall(make_request('POST', '/book/x', 'h', length=4))
            sock.sendall(b'ab')
            await begin_to_end(entry)
            await wait_for_notice_over(entry)
            sock.sendall(b'cd')
            head, _ = await anyio.to_thread.run_sync(read_all, sock)
            sock.close()
            self.assertIn(' 200 ', head.splitlines()[0])
            await entry.ended.wait()

        self.check(scenario)


class SettingsTest(unittest.TestCase):
    """A hang-up while the settings file can't be read."""

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
        """Spoil the file, hang up, and wait until that was taken in."""
        spoil(path)
        entry.send(signal.SIGHUP)
        before = entry.child
        await wait_for(
            lambda: 'reload' in read_log(entry) or before.poll() is not None
        )
        self.assertIsNone(before.poll())

    def test_half_written(self):
        """The process goes on with the settings that it has.

        Seen: the process ends, and all its connections with it.  Cause: the
        error of reading went up to the top.
        """
        self.check(lambda path: path.write_text(path.read_text()[:40]))

    def test_missing(self):
        """A file that is being replaced is no reason to end."""
        self.check(lambda path: path.unlink())

    def test_other_shape(self):
        """So is a file with a table where a word should be."""
        self.check(
            lambda path: path.write_text(
                path.read_text().replace('[listen]', '[[listen]]')
            )
        )


class MoreSignalsTest(unittest.TestCase):
    """Signals that come while the process ends."""

    def test_signals_while_ending(self):
        """They change nothing, to the last moment of the process.

        Seen: the process ends by a signal.  Cause: the handlers were taken
        away before all that they protect was done.
        """

        async def scenario(world):
            entry = world.entries[0]

            async def end():
                await begin_to_end(entry)
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
