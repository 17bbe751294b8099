"""
Load prediction
===============

Predicts how long new work waits at an engine.  Load reports lag, so the
prediction has two parts.  This instance's work in flight is counted exactly.
The work of other instances is estimated from the last report, the rate at which
they added work between the last two reports, and the rate at which the engine
has processed it since.
"""

from dataclasses import dataclass, field, replace

from trestledock.process._targets import LoadReport

#: The time for which finished work is kept to be compared with late reports, in
#: seconds.
FINISHED_RETENTION_S = 6.0
#: The time for which a measured pace is valid, in seconds.
MAX_PACE_AGE_S = 5.0
#: The weight of the newest sample in smoothed rates.
SMOOTHING_FACTOR = 0.3
#: The maximum rate at which others are assumed to add work, as a share of the
#: prefill rate.
MAX_OTHERS_SHARE = 1.0


@dataclass(frozen=True)
class SentWork:
    """Work that this instance sent to an engine.

    `tokens` counts the prefill tokens of the chunk that was sent,
    `remaining_tokens` those of the chunks to come, and `reserve` the KV tokens
    reserved since `reserved_at`.
    """

    tokens: int
    priority: int
    reserve: int
    sent_at: float
    reserved_at: float
    remaining_tokens: int = 0
    prefilled_at: float | None = None


@dataclass(frozen=True)
class Pace:
    """The recent prefill time per token of split prompts, with waits."""

    token_s: float
    measured_at: float


@dataclass
class EngineLoad:
    """The load of one engine, as known to this instance."""

    report: LoadReport | None = None
    reported_at: float = 0
    others_rate: float = 0
    sent_work: dict[tuple[str, int], SentWork] = field(default_factory=dict)
    finished_work: list[SentWork] = field(default_factory=list)
    paces: dict[int, Pace] = field(default_factory=dict)
    sent_total: int = 0
    _last_totals: tuple[float, int, int] = (0, 0, 0)
    _waits: dict[int, float] = field(default_factory=dict)
    _waits_at: float = float('-inf')

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record a report unless a newer one is known."""
        reported_at = now - report.age_s
        if self.report and reported_at <= self.reported_at:
            return
        self._waits.clear()
        self._update_others_rate(report, reported_at)
        self.report = report
        self.reported_at = reported_at

    def add(self, key: tuple[str, int], work: SentWork) -> None:
        """Add work that is being sent; it replaces earlier work of the key."""
        self.remove(key, work.sent_at)
        self._waits.clear()
        self.sent_work[key] = work
        self.sent_total += work.tokens

    def mark_prefilled(self, key: tuple[str, int], now: float) -> None:
        """Record that the prefill of some work is done."""
        work = self.sent_work.get(key)
        if work and work.prefilled_at is None:
            self._waits.clear()
            self.sent_work[key] = replace(work, prefilled_at=now)
            self._update_pace(work, now)

    def remove(self, key: tuple[str, int], now: float) -> None:
        """Remove work that has ended, with or without success."""
        work = self.sent_work.pop(key, None)
        if work:
            self._waits.clear()
            if work.prefilled_at is None:
                work = replace(work, prefilled_at=now)
            self.finished_work.append(work)

    def predict_wait(self, priority: int, now: float) -> float:
        """Return the predicted wait of new work of `priority`, in seconds."""
        if now != self._waits_at:
            self._waits.clear()
            self._waits_at = now
        if priority not in self._waits:
            self._waits[priority] = self._compute_wait(priority, now)
        return self._waits[priority]

    def predict_free_tokens(self) -> int:
        """Return the predicted number of free KV tokens."""
        report = self.report
        if report is None:
            return 0
        reserved_since = sum(
            work.reserve
            for work in self.sent_work.values()
            if work.reserved_at > self.reported_at
        )
        return report.free_tokens - reserved_since

    def get_pace(self, priority: int, now: float) -> float:
        """Return the prefill time per token of split prompts, 0 if unknown.

        Other instances also send one chunk at a time, so the engine's report
        does not contain the rest of their prompts; the pace of this instance's
        chunks reflects them.
        """
        pace = self.paces.get(priority)
        if pace is None or now - pace.measured_at > MAX_PACE_AGE_S:
            return 0
        return pace.token_s

    def expire_finished_work(self, now: float) -> None:
        """Drop finished work that predates any report still to come."""
        self.finished_work = [
            work
            for work in self.finished_work
            if now - (work.prefilled_at or now) < FINISHED_RETENTION_S
        ]

    def _compute_wait(self, priority: int, now: float) -> float:
        report = self.report
        if report is None:
            return 0
        tokens_ahead = self._count_own_tokens(priority) + self._estimate_others(
            priority, now
        )
        return (
            tokens_ahead + self._estimate_running_chunk(priority)
        ) / report.rate

    def _count_own_tokens(self, priority: int) -> int:
        return sum(
            work.tokens + work.remaining_tokens
            for work in self.sent_work.values()
            if work.prefilled_at is None and work.priority <= priority
        )

    def _count_own_in_report(self, priority: int) -> int:
        reported_at = self.reported_at
        return sum(
            work.tokens
            for work in (*self.sent_work.values(), *self.finished_work)
            if work.priority <= priority
            and work.sent_at <= reported_at
            and (work.prefilled_at is None or work.prefilled_at > reported_at)
        )

    def _estimate_others(self, priority: int, now: float) -> float:
        report = self.report
        if report is None:
            return 0
        queued = sum(report.queued[: priority + 1])
        reported_by_others = max(
            0, queued - self._count_own_in_report(priority)
        )
        age_s = now - self.reported_at
        return max(
            0, reported_by_others + (self.others_rate - report.rate) * age_s
        )

    def _estimate_running_chunk(self, priority: int) -> float:
        lower_priority = [
            work.tokens
            for work in self.sent_work.values()
            if work.prefilled_at is None and work.priority > priority
        ]
        return min(lower_priority) / 2 if lower_priority else 0

    def _update_pace(self, work: SentWork, now: float) -> None:
        if not work.remaining_tokens or not work.tokens:
            return
        token_s = (now - work.sent_at) / work.tokens
        previous_s = self.get_pace(work.priority, now)
        if previous_s:
            token_s = previous_s + SMOOTHING_FACTOR * (token_s - previous_s)
        self.paces[work.priority] = Pace(token_s, now)

    def _update_others_rate(
        self, report: LoadReport, reported_at: float
    ) -> None:
        last_at, accepted, own = self._last_totals
        span_s = reported_at - last_at
        if self.report and span_s > 0:
            others = report.accepted_tokens - accepted
            others -= self.sent_total - own
            rate = min(max(0, others / span_s), report.rate * MAX_OTHERS_SHARE)
            self.others_rate += SMOOTHING_FACTOR * (rate - self.others_rate)
        self._last_totals = (
            reported_at,
            report.accepted_tokens,
            self.sent_total,
        )
