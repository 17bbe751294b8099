"""
Load of an engine
=================

Predicts how long new work waits at an engine.  Reports lag, so the prediction
has two parts: the own work in flight, which is counted exactly, and that of
the other instances, which is estimated from the last report, from the rate at
which they added work between the last two, and from the rate at which the
engine has drained it since.
"""

from dataclasses import dataclass, field, replace

from trestledock.process._targets import LoadReport

#: How long finished work is kept, to be set against older reports.
DONE_RETENTION_S = 6.0
#: How long the pace of own pieces counts, in seconds.
MAX_PACE_AGE_S = 5.0
#: The weight of the newest sample in learned rates.
SMOOTHING_FACTOR = 0.3
#: The largest share of the prefill rate that others are assumed to add.
MAX_OTHERS_SHARE = 1.0


@dataclass(frozen=True)
class SentWork:
    """Own work sent to an engine.

    `tokens` are the prefill tokens of the piece that was sent, `rest` those
    of the pieces to come, `reserve` the KV tokens held since `reserved_at`.
    """

    tokens: int
    priority: int
    reserve: int
    sent_at: float
    reserved_at: float
    rest: int = 0
    prefilled_at: float | None = None


@dataclass(frozen=True)
class Pace:
    """The seconds that a token of cut prompts took lately, waits included."""

    token_s: float
    measured_at: float


@dataclass
class EngineLoad:
    """What this instance knows of the load of one engine."""

    report: LoadReport | None = None
    reported_at: float = 0
    others_rate: float = 0
    sent_work: dict[tuple[str, int], SentWork] = field(default_factory=dict)
    done: list[SentWork] = field(default_factory=list)
    paces: dict[int, Pace] = field(default_factory=dict)
    sent_total: int = 0
    _last_totals: tuple[float, int, int] = (0, 0, 0)
    _waits: dict[int, float] = field(default_factory=dict)
    _waits_at: float = float('-inf')

    def record_report(self, report: LoadReport, now: float) -> None:
        """Take a report unless a newer one is known."""
        reported_at = now - report.age_s
        if self.report and reported_at <= self.reported_at:
            return
        self._waits.clear()
        self._update_others_rate(report, reported_at)
        self.report = report
        self.reported_at = reported_at

    def add(self, key: tuple[str, int], sent: SentWork) -> None:
        """Count a piece of work that is being sent, after the one before."""
        self.remove(key, sent.sent_at)
        self._waits.clear()
        self.sent_work[key] = sent
        self.sent_total += sent.tokens

    def mark_prefilled(self, key: tuple[str, int], now: float) -> None:
        """Count the prefill of a piece of work as done."""
        sent = self.sent_work.get(key)
        if sent and sent.prefilled_at is None:
            self._waits.clear()
            self.sent_work[key] = replace(sent, prefilled_at=now)
            self._update_pace(sent, now)

    def remove(self, key: tuple[str, int], now: float) -> None:
        """Count work as ended, whatever became of it."""
        sent = self.sent_work.pop(key, None)
        if sent:
            self._waits.clear()
            if sent.prefilled_at is None:
                sent = replace(sent, prefilled_at=now)
            self.done.append(sent)

    def predict_wait(self, priority: int, now: float) -> float:
        """Return the seconds until work of `priority` would be started."""
        if now != self._waits_at:
            self._waits.clear()
            self._waits_at = now
        if priority not in self._waits:
            self._waits[priority] = self._compute_wait(priority, now)
        return self._waits[priority]

    def predict_free_tokens(self) -> int:
        """Return the KV tokens that are free, as far as known."""
        report = self.report
        if report is None:
            return 0
        since = sum(
            sent.reserve
            for sent in self.sent_work.values()
            if sent.reserved_at > self.reported_at
        )
        return report.free_tokens - since

    def get_pace(self, priority: int, now: float) -> float:
        """Return the seconds a token of a cut prompt takes, 0 if unknown.

        Others send one piece at a time, too, so that their prompts are not
        all in the engine's report; the pace of the own pieces tells of them.
        """
        pace = self.paces.get(priority)
        if pace is None or now - pace.measured_at > MAX_PACE_AGE_S:
            return 0
        return pace.token_s

    def expire_done(self, now: float) -> None:
        """Drop finished work that no report can be older than."""
        self.done = [
            sent
            for sent in self.done
            if now - (sent.prefilled_at or now) < DONE_RETENTION_S
        ]

    def _compute_wait(self, priority: int, now: float) -> float:
        report = self.report
        if report is None:
            return 0
        ahead = self._count_own_tokens(priority) + self._estimate_others(
            priority, now
        )
        return (ahead + self._estimate_running_chunk(priority)) / report.rate

    def _count_own_tokens(self, priority: int) -> int:
        return sum(
            sent.tokens + sent.rest
            for sent in self.sent_work.values()
            if sent.prefilled_at is None and sent.priority <= priority
        )

    def _count_own_in_report(self, priority: int) -> int:
        moment = self.reported_at
        return sum(
            sent.tokens
            for sent in (*self.sent_work.values(), *self.done)
            if sent.priority <= priority
            and sent.sent_at <= moment
            and (sent.prefilled_at is None or sent.prefilled_at > moment)
        )

    def _estimate_others(self, priority: int, now: float) -> float:
        report = self.report
        if report is None:
            return 0
        queued = sum(report.queued[: priority + 1])
        known = max(0, queued - self._count_own_in_report(priority))
        age = now - self.reported_at
        return max(0, known + (self.others_rate - report.rate) * age)

    def _estimate_running_chunk(self, priority: int) -> float:
        lower = [
            sent.tokens
            for sent in self.sent_work.values()
            if sent.prefilled_at is None and sent.priority > priority
        ]
        return min(lower) / 2 if lower else 0

    def _update_pace(self, sent: SentWork, now: float) -> None:
        if not sent.rest or not sent.tokens:
            return
        token_s = (now - sent.sent_at) / sent.tokens
        known = self.get_pace(sent.priority, now)
        if known:
            token_s = known + SMOOTHING_FACTOR * (token_s - known)
        self.paces[sent.priority] = Pace(token_s, now)

    def _update_others_rate(
        self, report: LoadReport, reported_at: float
    ) -> None:
        last_at, accepted, own = self._last_totals
        span = reported_at - last_at
        if self.report and span > 0:
            others = report.accepted_tokens - accepted
            others -= self.sent_total - own
            rate = min(max(0, others / span), report.rate * MAX_OTHERS_SHARE)
            self.others_rate += SMOOTHING_FACTOR * (rate - self.others_rate)
        self._last_totals = (
            reported_at,
            report.accepted_tokens,
            self.sent_total,
        )
