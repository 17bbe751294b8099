"""
Leases
======

Each data centre has one lease, acquired by compare-and-set on the log; the
offset of the accepted record is the fencing number.  The holder counts the
lease's duration on its own clock from the moment before its request, and stops
using it a margin before it expires.  Other instances count from the moment
when they read the record.
"""

from dataclasses import dataclass, field

from trestledock.process._identity import Timing
from trestledock.version import LeaseBody


@dataclass
class Lease:
    """The lease of the data centre as one instance knows it."""

    member: str
    timing: Timing
    fencing: int = -1
    holder: str = ''
    observed_at: float = 0
    ttl_s: float = 0
    asked_at: float = 0
    held_until: float = 0
    orders_from: float = 0
    _request_times: dict[str, float] = field(default_factory=dict)

    def record_request(self, record_id: str, now: float) -> None:
        """Record that a lease record is about to be appended."""
        self.asked_at = now
        self._request_times[record_id] = now

    def observe(
        self,
        fencing: int,
        record_id: str,
        body: LeaseBody,
        now: float,
    ) -> None:
        """Apply an accepted lease record."""
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
        asked_at = self._request_times.get(record_id, float('-inf'))
        self._request_times.clear()
        self.held_until = asked_at + body.ttl_s
        if takes_over:
            self.orders_from = now + self.timing.order_flight_s

    def is_held(self, now: float) -> bool:
        """Whether this instance may still act as the holder."""
        return now < self.held_until - self.timing.lease_margin_s

    def get_order_deadline(self) -> float:
        """Return the instant after which no order may be sent."""
        return self.held_until - self.timing.lease_margin_s

    def may_send_orders(self, now: float) -> bool:
        """Whether orders may be sent.

        A new holder first waits until the previous holder's orders can no
        longer be in flight.
        """
        return self.is_held(now) and now >= self.orders_from

    def should_request(self, now: float, rank: int) -> bool:
        """Whether to request or renew the lease; higher ranks wait longer."""
        if now - self.asked_at < self.timing.append_retry_s:
            return False
        if self.holder == self.member and now < self.held_until:
            return now > self.held_until - self.ttl_s * 2 / 3
        lapsed_at = self.observed_at + self.ttl_s + self.timing.lease_margin_s
        return now > lapsed_at + rank * self.timing.append_retry_s
