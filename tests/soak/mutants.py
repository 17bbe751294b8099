"""
Broken products
===============

Entries with one thing broken on purpose, each to show that a check of the soak
catches it: `python -m tests.soak --patch NAME` must end with violations.
"""

import sys
from types import MappingProxyType
from typing import Any, AsyncIterator, Callable

import anyio

from trestledock.entry import (
    _app,
    _daemon,
    _notices,
    _relaying,
    _server,
    _tickets,
    _wire,
)
from trestledock.entry._job import STATUSES, Job, Refusal
from trestledock.platform import _epochs, _headers, run
from trestledock.relay import (
    Fleet,
    AttemptHistory,
    FreshnessProof,
    Quarantine,
    Throttle,
)
from trestledock.relay._backoff import BackoffGate


def once() -> None:
    """Repeat whatever failed, also what may have run."""
    AttemptHistory.may_repeat = lambda history, route: len(history.attempts) < 4


def refusals() -> None:
    """Say of what may have run that it has not."""
    wrong = {**STATUSES, Refusal.failed: 503, Refusal.timeout: 503}
    _relaying.STATUSES = MappingProxyType(wrong)


def answers() -> None:
    """Take a body that is cut for a whole one."""
    whole = _wire.Wire.iter_body

    async def iter_body(self: Any) -> AsyncIterator[bytes]:
        try:
            async for raw in whole(self):
                yield raw
        except _wire.WireError:
            return

    _wire.Wire.iter_body = iter_body


def failures() -> None:
    """Fail while a target is chosen."""
    _relaying.select = None


def runs() -> None:
    """Pass callers' keys on to targets."""
    _headers.REPLACED_HEADERS = _headers.REPLACED_HEADERS - {
        _headers.AUTHORIZATION
    }


def exits() -> None:
    """End a process some seconds after its start."""

    async def fail(*args: Any) -> None:
        await anyio.sleep(8)
        sys.exit(3)

    _server._follow_limits = fail


def revoked() -> None:
    """Serve keys without a recent proof."""
    FreshnessProof.is_fresh = lambda proof, now: True


def leaks() -> None:
    """Never give tickets back, and go on renewing them."""
    _tickets.Tickets.release = lambda tickets, held: None


def leaving() -> None:
    """Go on using targets that are leaving."""
    Fleet.get_usable = lambda fleet, service: (
        one for one in fleet.targets.values() if one.service == service
    )


def ends() -> None:
    """Give requests more time than their routes do."""
    admit = _relaying.admit

    def admit_long(*args: Any) -> Any:
        job = admit(*args)
        if isinstance(job, Job):
            job.deadline += 5
        return job

    _relaying.admit = admit_long


def lost() -> None:
    """End at once when asked to stop."""
    _daemon.DRAIN_DELAY_S = 0
    _daemon.END_MARGIN_S = 8


def gone() -> None:
    """Don't notice callers that leave."""
    _app._cancel_on_disconnect = _sleep_on


def budget() -> None:
    """Hold no request for the targets that ended under it."""
    Quarantine.is_quarantined = lambda quarantine, fingerprint: False


def copies() -> None:
    """Take the word of any copy of the store, as if it were the only one."""
    _epochs.StoreEpochs.record = lambda epochs, head: None


def limit() -> None:
    """Send to targets whatever they ask for."""
    Throttle.can_send = lambda throttle, target, now: True


def words() -> None:
    """Go on using targets that say in answers that they leave."""
    _notices._record_drain = lambda *args: None


def rests() -> None:
    """Give targets no rest."""
    BackoffGate.can_send = lambda resting, target, now: True


async def _sleep_on(*args: Any) -> None:
    await anyio.sleep_forever()


PATCHES: dict[str, Callable[[], None]] = {
    patch.__name__: patch
    for patch in (
        once,
        refusals,
        answers,
        failures,
        runs,
        exits,
        revoked,
        leaks,
        leaving,
        ends,
        lost,
        gone,
        budget,
        copies,
        limit,
        words,
        rests,
    )
}


if __name__ == '__main__':
    PATCHES[sys.argv[1]]()
    run()
