"""
Probes of doubtful links
========================

While a link is in doubt, requests go through other entries, so they no longer
tell whether it works. Probes find that out: one request at a time, to targets
of each doubtful scope in turn, over the link itself and, until its loss is
proved, through another entry.
"""

import anyio

from trestledock.entry._connector import Connector
from trestledock.entry._dialect import Dialect
from trestledock.entry._links import Links
from trestledock.entry._reply_timers import fail_if_silent
from trestledock.entry._state import EntryState
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import (
    FailureKind,
    ListedTarget,
    drop_empty_scopes,
    find_probe_candidates,
)

#: The interval of probes, in seconds: a link that is back is used within it.
PROBE_INTERVAL_S = 0.4
#: How long a target may take to answer a probe, in seconds.
ANSWER_TIMEOUT_S = 0.3


class LinkProber:
    """Probes the doubtful links of one entry process."""

    def __init__(
        self, state: EntryState, connector: Connector, dialect: Dialect
    ) -> None:
        """Store the state, and what opens connections and makes requests."""
        self.state = state
        self.connector = connector
        self.dialect = dialect

    @property
    def links(self) -> Links:
        """The links of the entry."""
        return self.state.links

    async def run(self) -> None:
        """Probe while links are doubtful, until cancelled."""
        while True:
            doubted = self.links.doubted
            while self.links.health.get_doubted(anyio.current_time()):
                if not await self.probe_all():
                    await anyio.sleep(PROBE_INTERVAL_S)
            await doubted.wait()

    async def probe_all(self) -> bool:
        """Probe targets of each doubtful link; return whether one is back."""
        targets = list(self.state.fleet.targets.values())
        drop_empty_scopes(self.links.health, targets)
        willing = list(filter(self._is_willing, targets))
        now = anyio.current_time()
        is_back = False
        for candidates in tuple(
            find_probe_candidates(self.links.health, willing, now)
        ):
            for group in (candidates.sound, candidates.failed):
                if group and not is_back:
                    is_back = await self._probe(self.state.rng.choice(group))
        return is_back

    def _is_willing(self, target: ListedTarget) -> bool:
        """Return whether a target neither drains nor asked for a back-off."""
        now = anyio.current_time()
        is_usable = self.state.fleet.is_usable(target.incarnation)
        return is_usable and not self.state.throttle.is_backing_off(target, now)

    async def _probe(self, target: ListedTarget) -> bool:
        """Return whether a target answers over the own link."""
        failure = await self._find_failure(target)
        if failure is None:
            return True
        if self.links.health.is_lost(target):
            return False
        via = await self._find_way_around(target)
        if via:
            self.links.record_failure(target, failure, is_new=True)
            self.links.record_reached(target, via)
        return False

    async def _find_failure(self, target: ListedTarget) -> WireError | None:
        """Return how a target fails to answer over the own link, if it does."""
        try:
            wire = await Wire.connect(target.address)
            await self._ask(target, wire)
        except WireError as exc:
            return exc
        self.links.record_answer(target, wire)
        return None

    async def _find_way_around(self, target: ListedTarget) -> str:
        """Return an entry through which a target answers, empty if none."""
        try:
            wire = await self.connector.open_tunnel(target)
            await self._ask(target, wire)
        except WireError:
            return ''
        return wire.via

    async def _ask(self, target: ListedTarget, wire: Wire) -> None:
        """Have a target answer anything on a connection, and close it."""
        probe = self.dialect.make_probe(target)
        try:
            with fail_if_silent(ANSWER_TIMEOUT_S):
                await wire.send(
                    probe.method, probe.path, probe.headers, probe.body
                )
                await wire.read_head()
        except TimeoutError as exc:
            raise WireError('probe', 'no answer', FailureKind.silent) from exc
        finally:
            await wire.close()
