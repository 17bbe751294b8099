"""The board of flights, with messages that are lost or come twice."""

import unittest

from trestledock.relay import LoadTable, Flight, Phase


def make_flight(name, target='t1', helpers=(), tickets=(), tokens=1000):
    return Flight(
        name,
        target,
        tokens,
        100,
        Phase.prefill,
        0,
        helpers=helpers,
        reservations=tickets,
    )


def get_ids(board, target):
    return sorted(one.flight_id for one in board.get_flights(target))


class BoardTest(unittest.TestCase):
    """What counts as in flight at a target."""

    def test_helpers_count(self):
        """A flight stands at its target and at all helpers."""
        board = LoadTable()
        board.put(make_flight('a', helpers=('t2', 't3')))
        for target in ('t1', 't2', 't3'):
            self.assertEqual(get_ids(board, target), ['a'])
        board.remove('a')
        self.assertEqual(get_ids(board, 't2'), [])

    def test_memory_by_tickets(self):
        """Tickets hold their part; the rest is at the first target."""
        flight = make_flight('a', helpers=('t2', 't3'), tickets=(('t2', 400),))
        held = [flight.get_held_tokens(one) for one in ('t1', 't2', 't3')]
        self.assertEqual(held, [700, 400, 0])

    def test_whole_replaces(self):
        """A whole message makes good what was lost."""
        board = LoadTable()
        changes = [('a', make_flight('a')), ('b', make_flight('b'))]
        board.apply_update('peer', 1, changes, whole=False)
        board.apply_update('peer', 5, [('b', make_flight('b'))], whole=True)
        self.assertEqual(get_ids(board, 't1'), ['b'])

    def test_late_message_is_dropped(self):
        """A message that was overtaken changes nothing."""
        board = LoadTable()
        board.apply_update('peer', 2, [('a', None)], whole=False)
        board.apply_update('peer', 1, [('a', make_flight('a'))], whole=False)
        self.assertEqual(get_ids(board, 't1'), [])

    def test_silent_peer_is_forgotten(self):
        """The flights of a peer that died end with it."""
        board = LoadTable()
        board.put(make_flight('own'))
        board.apply_update('peer', 1, [('a', make_flight('a'))], whole=True)
        board.drop_sender('peer')
        self.assertEqual(get_ids(board, 't1'), ['own'])

    def test_restarted_peer_is_heard(self):
        """A peer that counts from the start again is believed once gone."""
        board = LoadTable()
        board.apply_update('peer', 900, [], whole=True)
        board.drop_sender('peer')
        board.apply_update('peer', 1, [('a', make_flight('a'))], whole=True)
        self.assertEqual(get_ids(board, 't1'), ['a'])

    def test_changes_are_taken_once(self):
        """Each change is told once; the newest of a flight wins."""
        board = LoadTable()
        board.put(make_flight('a'))
        board.start_decode('a', 1)
        changes = board.pop_changes()
        self.assertIs(changes['a'].phase, Phase.decode)
        self.assertEqual(board.pop_changes(), {})
