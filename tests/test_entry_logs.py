"""The log of an entry: bounded, non-blocking, and as documented."""

import json
import logging
import os
import re
import unittest
from pathlib import Path

from pythonjsonlogger.json import JsonFormatter

from trestledock.entry import EVENTS
from trestledock.entry._event import NAMES
from trestledock.entry._logger import (
    MAX_FAILURE_LINES_PER_S,
    MAX_LINES_PER_S,
    MAX_WAITING,
    PipeHandler,
    LineLimit,
)

PAGE = Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
#: Row of the table of events: name and fields.
ROW = re.compile(r'^\| `([a-z_]+)` \| ([^|]*) \|', re.MULTILINE)


def make_record(kind):
    return logging.LogRecord('t', logging.INFO, '', 0, kind, (), None)


class Pipe:
    """Pipe with a log handler at its write end."""

    def __init__(self, clock):
        self.read_end, write_end = os.pipe()
        self.handler = PipeHandler(write_end, LineLimit(clock))
        self.handler.setFormatter(JsonFormatter('%(message)s'))

    def read_lines(self):
        os.set_blocking(self.read_end, False)
        raw = b''
        try:
            while True:
                raw += os.read(self.read_end, 65_536)
        except BlockingIOError:
            return [json.loads(line) for line in raw.splitlines()]


class EventFieldsTest(unittest.TestCase):
    """The fields of the events as attributes of log records."""

    # Guards against a request that fails because its log line can't be made.
    def test_fields_are_no_attributes_of_records(self):
        reserved = {*make_record('x').__dict__, 'message', 'asctime'}
        for kind in NAMES:
            with self.subTest(kind.__name__):
                self.assertEqual(reserved & set(kind.names), set())


class LoggerTest(unittest.TestCase):
    """Many lines, and a reader that does not read."""

    def test_full_pipe_never_blocks(self):
        """Lines beyond the queue are dropped, and their number is logged."""
        times = iter(range(10_000_000))
        pipe = Pipe(lambda: next(times))
        count = MAX_WAITING * 4
        for _ in range(count):
            pipe.handler.emit(make_record('x' * 200))
        self.assertLessEqual(len(pipe.handler.waiting), MAX_WAITING + 1)
        self.assertGreater(pipe.handler.dropped, 0)
        lines = []
        for _ in range(count):
            lines.extend(pipe.read_lines())
            pipe.handler.emit(make_record('later'))
        self.assertTrue(any(line.get('reason') == 'pipe' for line in lines))

    def test_rate_is_bounded(self):
        """Lines over the limit are counted; failures have a higher limit."""
        now = [0.0]
        pipe = Pipe(lambda: now[0])
        for _ in range(1000):
            pipe.handler.emit(make_record('answered'))
            pipe.handler.emit(make_record('refused'))
        now[0] = 1.0
        pipe.handler.emit(make_record('started'))
        lines = pipe.read_lines()
        kinds = [line['message'] for line in lines]
        self.assertEqual(kinds.count('answered'), MAX_LINES_PER_S)
        self.assertEqual(kinds.count('refused'), MAX_FAILURE_LINES_PER_S)
        dropped = {
            line['kind']: line['count'] for line in lines if 'kind' in line
        }
        self.assertEqual(dropped['answered'], 1000 - MAX_LINES_PER_S)


class PageTest(unittest.TestCase):
    """docs/OPERATIONS.md lists the events as they are."""

    def test_table(self):
        """The table has each event with its fields, and no others."""
        found = dict(ROW.findall(PAGE.read_text(encoding='utf-8')))
        for event in EVENTS:
            with self.subTest(event=event.get_name()):
                expected = ', '.join(f'`{name}`' for name in event.names)
                self.assertEqual(found.pop(event.get_name()), expected)
        self.assertEqual(found, {})

    def test_each_event_is_listed(self):
        """An event missing from `EVENTS` would be logged, but not compared."""
        self.assertCountEqual(EVENTS, NAMES)
