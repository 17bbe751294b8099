"""
Leases
======

One holder a data centre, by compare and set on the log; the offset of the
accepted record is the fencing number.  A holder trusts its lease only until
a margin before its end, counted from before it asked, on its own clock.
Others count from when they read the record.
"""

from dataclasses import dataclass, field

from trestledock.process._identity import Timing
from trestledock.version import LeaseBody


@dataclass
class Lease:
    """One instance's view of its data centre's lease."""

    member: str
    timing: Timing
    fencing: int = -1
    holder: str = ''
    observed_at: float = 0
    ttl_s: float = 0
    asked_at: float = 0
    held_until: float = 0
    orders_from: float = 0
    _asked: dict[str, float] = field(default_factory=dict)

    def record_request(self, record_id: str, now: float) -> None:
        """Note that a lease record is about to be appended."""
        self.asked_at = now
        self._asked[record_id] = now

    def observe(
        self,
        fencing: int,
        record_id: str,
        body: LeaseBody,
        now: float,
    ) -> None:
        """Take an accepted lease record."""
        if fencing <= self.fencing:
            return
        takes_over = body.holder != self.holder and self.holder
        self.fencing = fencing
        self.holder = body.holder
        self.ttl_s = body.ttl_s
        self.observed_at = now
        if body.holder != self.member:
            self.held_until = 0
            return
        asked_at = self._asked.get(record_id, float('-inf'))
        self._asked.clear()
        self.held_until = asked_at + body.ttl_s
        if takes_over:
            self.orders_from = now + self.timing.order_flight_s

    def is_held(self, now: float) -> bool:
        """Whether this instance may still act as the holder."""
        return now < self.held_until - self.timing.lease_margin_s

    def get_order_deadline(self) -> float:
        """Return the instant after which no order may be written."""
        return self.held_until - self.timing.lease_margin_s

    def may_send_orders(self, now: float) -> bool:
        """Whether orders may be given: held, and the last holder's landed."""
        return self.is_held(now) and now >= self.orders_from

    def should_request(self, now: float, rank: int) -> bool:
        """Whether to ask for the lease; higher ranks wait longer."""
        if now - self.asked_at < self.timing.append_retry_s:
            return False
        if self.holder == self.member and now < self.held_until:
            return now > self.held_until - self.ttl_s * 2 / 3
        lapsed_at = self.observed_at + self.ttl_s + self.timing.lease_margin_s
        return now > lapsed_at + rank * self.timing.append_retry_s
