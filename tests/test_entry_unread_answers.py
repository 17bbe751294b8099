"""What callers leave unread is bounded over all connections of an entry."""

import unittest
from itertools import repeat
from unittest import mock

from trestledock.entry import _unread
from trestledock.entry._unread import (
    CONNECTION_BYTES,
    RESUME_BYTES,
    UnreadAnswers,
)


class StubTransport:
    """A connection whose caller reads when it is told."""

    def __init__(self):
        self.limits = {}
        self.waiting = 0
        self.aborted = False

    def set_write_buffer_limits(self, **limits):
        self.limits = limits

    def get_write_buffer_size(self):
        return self.waiting

    def abort(self):
        self.aborted = True
        self.waiting = 0


class UnreadAnswersTest(unittest.TestCase):
    """Connections of callers that read, read slowly, or don't read."""

    def setUp(self):
        self.now = 0.0
        self.emitted = []
        for name, stub in (
            ('anyio', mock.Mock(current_time=lambda: self.now)),
            ('emit', self.emitted.append),
        ):
            patch = mock.patch.object(_unread, name, stub)
            patch.start()
            self.addCleanup(patch.stop)
        self.answers = UnreadAnswers(limit=100, stall_s=10)

    def connect(self, *sizes):
        """Return a connection on which these sizes were written unread."""
        connection = self.answers.add(StubTransport())
        for size in sizes:
            self.write(connection, size)
        return connection

    def write(self, connection, size):
        self.answers.record_write(connection, size)
        connection.transport.waiting += size

    def get_aborted(self, *connections):
        return [connection.transport.aborted for connection in connections]

    def test_connection_is_bounded(self):
        """A writer waits at the bound, and goes on after a few reads."""
        limits = self.connect().transport.limits
        self.assertEqual(limits['high'], CONNECTION_BYTES)
        self.assertEqual(limits['low'], CONNECTION_BYTES - RESUME_BYTES)

    def test_room_is_made_by_who_reads_least(self):
        """At the bound of the entry, the caller that reads keeps its answer."""
        mute, reading = self.connect(50), self.connect(50)
        self.now = 5
        reading.transport.waiting -= 1
        other = self.connect(30)
        self.assertEqual(
            self.get_aborted(mute, reading, other), [True, False, False]
        )
        self.assertEqual(self.answers.get_total(), 79)
        self.assertEqual(self.emitted[0].reason, 'room')

    def test_what_was_read_needs_no_room(self):
        """Bytes that callers have read close nobody's connection."""
        connections = [self.connect() for _ in range(3)]
        for _ in range(20):
            for connection in connections:
                self.write(connection, 30)
                connection.transport.waiting = 0
        self.assertEqual(self.get_aborted(*connections), list(repeat(False, 3)))

    def test_stalled_caller(self):
        """An answer isn't held forever for a caller that reads nothing."""
        mute, slow, idle = self.connect(20), self.connect(20), self.connect()
        for _ in range(10):
            self.now += 3
            slow.transport.waiting -= 1
            self.write(mute, 1)
            self.answers.close_stalled()
        self.assertEqual(
            self.get_aborted(mute, slow, idle), [True, False, False]
        )
        self.assertEqual(self.emitted[0].reason, 'stalled')

    def test_ended_connections_are_forgotten(self):
        """Connections that come and go don't grow the watch."""
        for _ in range(3):
            self.answers.remove(self.connect(20))
        self.assertEqual(self.answers.connections, set())
