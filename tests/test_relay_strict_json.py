"""What leaves a process is JSON, or fails at its writer."""

import json
import unittest
from pathlib import Path
from random import Random
from unittest.mock import Mock, patch

import anyio

from tests.relaying import SETTINGS
from trestledock.entry import _events as events
from trestledock.entry._app import EntryApp
from trestledock.entry._datagrams import split_address
from trestledock.entry._gossip import Gossip
from trestledock.entry._messages import Fresh, Reply
from trestledock.entry._state import EntryState
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.relay import ENCODE_ERRORS, Quarantine, encode_json

PRODUCT = Path(__file__).parent.parent / 'trestledock'
#: Packages that run at users' machines.
PACKAGES = ('connection', 'entry', 'platform', 'process', 'relay', 'version')
INFINITE = float('inf')
ADDRESS = ('127.0.0.1', 9)


def make_state():
    return EntryState(SETTINGS, 'entry-1#a', Random(1), None)


def find_events(emit):
    """Return the types of the events that were emitted."""
    return [type(call.args[0]) for call in emit.call_args_list]


class DumpTest(unittest.TestCase):
    """The encoder."""

    def test_numbers_that_are_no_json(self):
        for number in (INFINITE, -INFINITE, float('nan')):
            with self.assertRaises(ENCODE_ERRORS):
                encode_json({'rows': [{'age_s': number}]})

    def test_text_of_all_else(self):
        plain = {'a': [1, 0.5, None, True, 'é"\n'], 'b': {}}
        self.assertEqual(json.loads(encode_json(plain)), plain)

    # Guards against an encoder that writes Infinity beside this one.
    def test_only_encoder_of_the_product(self):
        sources = [
            path
            for package in PACKAGES
            for path in (PRODUCT / package).rglob('*.py')
        ]
        self.assertGreater(len(sources), 100)
        others = [
            path.name for path in sources if 'json.dumps' in path.read_text()
        ]
        self.assertEqual(others, ['_strict_json.py'])


class WriterTest(unittest.TestCase):
    """A message or update that can't be encoded ends nothing else."""

    # Guards against a number that ends the task that sends the messages.
    def test_datagram(self):
        async def main():
            gossip = Gossip(make_state())
            gossip._datagrams = Mock()
            for message in (
                Reply('e', INFINITE, 0, 0, 0, 1, 1),
                Fresh('e', INFINITE),
                Fresh('e', 0.5),
            ):
                gossip.send(message, [ADDRESS])
            self.assertEqual(gossip._datagrams.send.call_count, 1)

        with patch('trestledock.entry._gossip.emit') as emit:
            anyio.run(main)
        self.assertEqual(
            find_events(emit), [events.DatagramDropped, events.DatagramDropped]
        )

    def test_update(self):
        sent = []

        async def send(message):
            sent.append(message)

        async def main():
            state = make_state()
            exchange = UpdateExchange(state, Gossip(state))
            app = EntryApp(state, None, None, exchange, None)
            state.isolation.merge_cleared('f', ('a', 'b', 'c'), 'e')
            port = split_address(SETTINGS.peers)[1]
            scope = {
                'type': 'http',
                'path': '/news',
                'query_string': b'',
                'server': ('127.0.0.1', port),
            }
            await app(scope, None, send)

        with patch('trestledock.entry._app.emit') as emit:
            anyio.run(main)
            with patch.object(Quarantine, 'get_records', _get_infinite):
                anyio.run(main)
        starts = [message for message in sent if 'status' in message]
        self.assertEqual([start['status'] for start in starts], [200, 500])
        self.assertEqual(find_events(emit), [events.Failed])


def _get_infinite(quarantine, now):
    """Return a record with an infinite age."""
    record = quarantine.make_record('f', now)
    object.__setattr__(record, 'age_s', INFINITE)
    return [record]
