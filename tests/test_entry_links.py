"""What the failures of connections say of the links of an entry."""

import unittest
from unittest import mock

import anyio

from trestledock.entry._links import Links
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import FailureKind, Fleet, Health, ListedTarget

TARGETS = tuple(
    ListedTarget(name, 'svc', '127.0.0.1:1', 'dc')
    for name in ('t1', 't2', 't3')
)


class BrokenConnectionTest(unittest.TestCase):
    """Connections that fail after a request was written."""

    def break_all(self, failure, *, is_tunnel=False):
        """Return whether links are in doubt after all targets have failed."""

        async def main():
            fleet, health = Fleet(), Health()
            links = Links(fleet, health)
            for target in TARGETS:
                wire = Wire(mock.Mock(), is_tunnel=is_tunnel)
                links.record_broken(target, wire, failure)
            return links.is_doubted(TARGETS[0])

        return anyio.run(main)

    def test_silence(self):
        failure = WireError('answer', 'silent', FailureKind.silent)
        self.assertTrue(self.break_all(failure))

    # Guards against busy targets that are taken for a lost link, so that the
    # requests of a sound entry depend on the links of another one.
    def test_targets_given_up_early(self):
        failure = WireError('answer', 'silent', FailureKind.silent)
        failure.is_early = True
        self.assertFalse(self.break_all(failure))

    # Guards against tunnels that break and are taken for the own links.
    def test_tunnels(self):
        failure = WireError('body', 'reset', FailureKind.silent)
        self.assertFalse(self.break_all(failure, is_tunnel=True))

    def test_invalid_answers(self):
        failure = WireError('answer', 'invalid', FailureKind.garbled)
        self.assertFalse(self.break_all(failure))


class IsolationTest(unittest.TestCase):
    """Entries without any way to the targets."""

    def check(self, *, has_way, expected):
        async def main():
            links = Links(Fleet(), Health())
            links.has_way_around = lambda: has_way
            failure = WireError('connect', 'timeout', FailureKind.unreachable)
            for target in TARGETS:
                links.record_failure(target, failure, is_new=True)
            return links.is_isolated()

        self.assertIs(anyio.run(main), expected)

    def test_without_a_way(self):
        self.check(has_way=False, expected=True)

    def test_with_a_way(self):
        self.check(has_way=True, expected=False)
