"""The load table, with messages that are lost or duplicated."""

import unittest

from trestledock.relay import Flight, LoadTable, Phase


def make_flight(name, target='t1', helpers=(), reservations=(), tokens=1000):
    return Flight(
        name,
        target,
        tokens,
        100,
        Phase.prefill,
        0,
        helpers=helpers,
        reservations=reservations,
    )


def get_ids(load_table, target):
    return sorted(flight.flight_id for flight in load_table.get_flights(target))


class LoadTableTest(unittest.TestCase):
    """The requests in flight at a target."""

    def test_listed_at_helpers(self):
        """A request is listed at its target and at all helpers."""
        load_table = LoadTable()
        load_table.put(make_flight('a', helpers=('t2', 't3')))
        for target in ('t1', 't2', 't3'):
            self.assertEqual(get_ids(load_table, target), ['a'])
        load_table.remove('a')
        self.assertEqual(get_ids(load_table, 't2'), [])

    def test_memory_by_reservations(self):
        """Reservations hold their share; the rest is at the primary engine."""
        flight = make_flight(
            'a', helpers=('t2', 't3'), reservations=(('t2', 400),)
        )
        tokens = [
            flight.get_held_tokens(target) for target in ('t1', 't2', 't3')
        ]
        self.assertEqual(tokens, [700, 400, 0])

    def test_whole_message_replaces(self):
        """A whole message makes up for lost ones."""
        load_table = LoadTable()
        changes = [('a', make_flight('a')), ('b', make_flight('b'))]
        load_table.apply_update('peer', 1, changes, whole=False)
        load_table.apply_update(
            'peer', 5, [('b', make_flight('b'))], whole=True
        )
        self.assertEqual(get_ids(load_table, 't1'), ['b'])

    def test_late_message_is_dropped(self):
        """A message that was overtaken by a newer one changes nothing."""
        load_table = LoadTable()
        load_table.apply_update('peer', 2, [('a', None)], whole=False)
        load_table.apply_update(
            'peer', 1, [('a', make_flight('a'))], whole=False
        )
        self.assertEqual(get_ids(load_table, 't1'), [])

    def test_removed_peer(self):
        """The requests of a peer are removed with it."""
        load_table = LoadTable()
        load_table.put(make_flight('own'))
        load_table.apply_update(
            'peer', 1, [('a', make_flight('a'))], whole=True
        )
        load_table.drop_sender('peer')
        self.assertEqual(get_ids(load_table, 't1'), ['own'])

    def test_restarted_peer(self):
        """The sequence of a removed peer may start again."""
        load_table = LoadTable()
        load_table.apply_update('peer', 900, [], whole=True)
        load_table.drop_sender('peer')
        load_table.apply_update(
            'peer', 1, [('a', make_flight('a'))], whole=True
        )
        self.assertEqual(get_ids(load_table, 't1'), ['a'])

    def test_changes_are_returned_once(self):
        """Each change is returned once, the newest of a request."""
        load_table = LoadTable()
        load_table.put(make_flight('a'))
        load_table.start_decode('a', 1)
        changes = load_table.pop_changes()
        self.assertIs(changes['a'].phase, Phase.decode)
        self.assertEqual(load_table.pop_changes(), {})
