"""
Recording of paces
==================

Measures the passes of an engine from the events of a stream that this entry
forwards, and tells the other entries if the engine is clearly slower than its
formula, or no longer.
"""

import anyio

from trestledock.entry._job import Job
from trestledock.entry._notices import OWN, apply_notice
from trestledock.entry._selecting import get_engine_model
from trestledock.entry._state import EntryState
from trestledock.relay import (
    KEPT_PACE,
    EngineLoad,
    ListedTarget,
    MeasuredPass,
    Pace,
    StreamMeter,
    choose_update,
    is_pure_decode,
)

#: A pause is no measurement if forwarding the events before it took longer than
#: this share of a nominal pass: the caller, or this process, was slow.
MAX_FORWARDING_SHARE = 0.1


class PaceRecorder:
    """Records the pace of the engine that decodes one stream."""

    def __init__(
        self, state: EntryState, job: Job, target: ListedTarget
    ) -> None:
        """Start before the first event."""
        self.state = state
        self.target = target
        self.engine = get_engine_model(state, job)
        self._meter = StreamMeter()
        self._before: EngineLoad | None = None
        self._forwarded_at: float = 0

    def record_events(self, count: int) -> None:
        """Record that events of `count` passes arrived in one read."""
        before, self._before = self._before, self._get_load()
        if before and self._before:
            measured = self._meter.add(
                self._measure(before, self._before, count)
            )
            if measured:
                self._record(measured)

    def record_forwarded(self) -> None:
        """Record that the events were written to the caller."""
        self._forwarded_at = anyio.current_time()

    def _get_load(self) -> EngineLoad | None:
        """Return the load of the engine, None if it is not fully known.

        With many entries, those of its own data centre know it.
        """
        own = self.state.settings.data_centre
        is_known = not self.state.many_entries or self.target.data_centre == own
        if self.engine is None or not is_known:
            return None
        return self.state.placer.estimator.estimate(
            self.engine, self.target, anyio.current_time()
        )

    def _measure(
        self, before: EngineLoad, after: EngineLoad, count: int
    ) -> MeasuredPass | None:
        """Return the pass between two loads, None if it is no measurement.

        A pause of nominal length shows that the engine is not slow, whatever
        else happened.
        """
        nominal_s = max(before.nominal_base_s, after.nominal_base_s)
        pause_s = after.now - before.now
        ratio = pause_s / count / nominal_s
        forwarding_s = self._forwarded_at - before.now
        if ratio >= KEPT_PACE and (
            forwarding_s > nominal_s * MAX_FORWARDING_SHARE
            or not is_pure_decode(before, before.now)
            or not self._is_pure_since(before.now)
        ):
            return None
        return MeasuredPass(before.now, after.now, ratio)

    def _is_pure_since(self, began_at: float) -> bool:
        """Return whether no entry reports prefill at the engine since then."""
        self.state.receive_messages()
        load = self._get_load()
        return load is not None and is_pure_decode(load, began_at)

    def _record(self, measured: MeasuredPass) -> None:
        peer = self.target.incarnation
        self.state.paces.expire(anyio.current_time())
        known = self.state.paces.get_known(peer, measured.ended_at)
        factor = self.state.pace_meter.add(
            peer, measured, is_slow=known is not None
        )
        if factor is None:
            return
        update = choose_update(
            known, Pace(factor, measured.began_at, measured.ended_at)
        )
        if update is None:
            return
        apply_notice(self.state, peer, update, OWN)
        if self.state.notices.get_all(Pace).get(peer) is update:
            self.state.send_notices(peer)
