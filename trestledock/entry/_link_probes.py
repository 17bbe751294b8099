"""
Probes of doubtful links
========================

While a link is in doubt, requests go through other entries, so they no longer
tell whether it works. Probes find that out: one request at a time, to one
target of each doubtful scope in turn, over the link itself and, until its loss
is proved, through another entry.
"""

import anyio

from trestledock.entry._connector import Connector
from trestledock.entry._dialect import Dialect
from trestledock.entry._links import Links
from trestledock.entry._state import EntryState
from trestledock.entry._wire import Wire, WireError
from trestledock.relay import FailureKind, ListedTarget, Scope

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
                await self.probe_all()
                await anyio.sleep(PROBE_INTERVAL_S)
            await doubted.wait()

    async def probe_all(self) -> None:
        """Probe one target of each doubtful scope, widest first.

        A success ends the doubt about all scopes of its target.
        """
        now = anyio.current_time()
        for scope in self.links.health.get_doubted(now):
            links = self.links.health.scopes.get(scope)
            if links is None:
                continue
            target = self._pick(scope)
            if target is None:
                self.links.health.forget(scope)
            else:
                await self._probe(target)

    def _pick(self, scope: Scope) -> ListedTarget | None:
        """Return a target of a scope, one that has failed if there is one."""
        targets = self.links.get_targets(scope)
        failures = self.links.health.scopes[scope].failures
        failed = [one for one in targets if one.incarnation in failures]
        candidates = failed or targets
        return self.state.rng.choice(candidates) if candidates else None

    async def _probe(self, target: ListedTarget) -> None:
        failure = await self._find_failure(target)
        if failure is None or self.links.health.is_lost(target):
            return
        via = await self._find_way_around(target)
        if via:
            self.links.record_failure(target, failure, is_new=True)
            self.links.record_reached(target, via)

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
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                await wire.send(
                    probe.method, probe.path, probe.headers, probe.body
                )
                await wire.read_head()
        except TimeoutError as exc:
            raise WireError('probe', 'no answer', FailureKind.silent) from exc
        finally:
            await wire.close()
