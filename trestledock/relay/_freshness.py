"""
Freshness of the configuration
==============================

The age of this instance's configuration.  A revoked key must not be accepted
for long, even if the store can't be reached, so requests with keys are refused
once the last proof of freshness is too old.  The age of a proof counts from the
instant at which its query was sent, on a clock that keeps running while the
process is frozen.
"""

from dataclasses import dataclass

#: The age in seconds that stands for an instant that never was, in what is sent
#: or stored: JSON has no infinity.
MAX_AGE_S = 1_000_000
#: The share of the time allowed for a revoked key up to which a proof is fresh.
FRESH_SHARE = 0.75
#: The share of that time up to which an instance counts as ready.
READY_SHARE = 0.6


@dataclass
class FreshnessProof:
    """The newest proof; with a `max_age_s` of zero none is required.

    `read_at` is the instant of the last read of the configuration, by this
    instance or by the reader.  A read doesn't always prove freshness; if it
    doesn't, further reads would not either.

    >>> proof = FreshnessProof(max_age_s=4.0)
    >>> proof.renew(asked_at=1.0)
    >>> proof.is_fresh(3.9), proof.is_fresh(4.1)
    (True, False)
    """

    max_age_s: float = 0
    proven_at: float = float('-inf')
    read_at: float = float('-inf')

    def renew(self, asked_at: float) -> None:
        """Record a proof by the answer to a query sent at `asked_at`."""
        self.proven_at = max(self.proven_at, asked_at)
        self.record_read(asked_at)

    def record_read(self, asked_at: float) -> None:
        """Record an answer that may lack newer changes."""
        self.read_at = max(self.read_at, asked_at)

    def get_read_age_s(self, now: float) -> float:
        """Return the time since the last read in seconds."""
        return now - self.read_at

    def get_age_s(self, now: float) -> float:
        """Return the age of the newest proof, in seconds."""
        return now - self.proven_at

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with keys may be served."""
        return not self.max_age_s or (
            self.get_age_s(now) <= self.max_age_s * FRESH_SHARE
        )

    def is_ready(self, now: float) -> bool:
        """Return whether new connections should be sent to this instance."""
        return not self.max_age_s or (
            self.get_age_s(now) <= self.max_age_s * READY_SHARE
        )
