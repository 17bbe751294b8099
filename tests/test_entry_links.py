"""What the failures of connections say of the links of an entry."""

import unittest
from unittest import mock

import anyio

from trestledock.entry._links import MAX_CRASHED, Links
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


class CrashedTargetTest(unittest.TestCase):
    """Targets that have crashed while they ran requests."""

    # Guards against a wave of crashes that is taken for a lost link: entries
    # went through each other, and refused requests that sound targets can run.
    def test_crashes_are_no_failures_of_links(self):
        async def main():
            links = Links(Fleet(), Health())
            refused = WireError('connect', 'refused', FailureKind.refused)
            for target in TARGETS:
                links.record_failure(target, refused, is_new=True)
            seen = [links.is_doubted(TARGETS[0]), links.is_isolated()]
            for target in TARGETS:
                links.record_crashed(target.incarnation)
            seen.append(links.is_doubted(TARGETS[0]))
            for target in TARGETS:
                links.record_failure(target, refused, is_new=True)
            seen.extend((links.is_doubted(TARGETS[0]), links.is_isolated()))
            return seen

        self.assertEqual(anyio.run(main), [True, True, False, False, False])

    # Guards against a cut that is overlooked, as one of the targets crashed.
    def test_other_failures_count(self):
        async def main():
            links = Links(Fleet(), Health())
            silent = WireError('connect', 'timeout', FailureKind.unreachable)
            for target in TARGETS:
                links.record_failure(target, silent, is_new=True)
            links.record_crashed(TARGETS[0].incarnation)
            return links.is_doubted(TARGETS[0])

        self.assertTrue(anyio.run(main))

    def test_known_crashes_are_bounded(self):
        async def main():
            links = Links(Fleet(), Health())
            for number in range(MAX_CRASHED * 2):
                links.record_crashed(f't{number}')
            return len(links._crashed)

        self.assertEqual(anyio.run(main), MAX_CRASHED)


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
