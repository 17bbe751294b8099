"""
Proof of freshness
==================

How old this instance's knowledge of the configuration is.  A key that was
taken away must not be served for long, also where the store can't be reached,
so requests with keys are refused once the proof is too old.  A proof counts
from when its question was sent, on a clock that runs on while the process is
frozen.
"""

from dataclasses import dataclass

#: The part of the time allowed for a revoked key that a proof may be old.
PROOF_SHARE = 0.75
#: Below this part of it an instance still counts as ready.
READY_SHARE = 0.6


@dataclass
class FreshnessProof:
    """The newest proof; `max_age_s` of zero asks for none.

    `read_at` is when the configuration was read for the last time, by this
    instance or the one it asks: a read need not prove anything, and where it
    doesn't, more reads would not either.

    >>> proof = FreshnessProof(max_age_s=4.0)
    >>> proof.renew(asked_at=1.0)
    >>> proof.is_fresh(3.9), proof.is_fresh(4.1)
    (True, False)
    """

    max_age_s: float = 0
    proven_at: float = float('-inf')
    read_at: float = float('-inf')

    def renew(self, asked_at: float) -> None:
        """Take an answer to a question that was sent at `asked_at`."""
        self.proven_at = max(self.proven_at, asked_at)
        self.record_read(asked_at)

    def record_read(self, asked_at: float) -> None:
        """Take an answer that may lack something newer."""
        self.read_at = max(self.read_at, asked_at)

    def get_read_age_s(self, now: float) -> float:
        """Return how long ago the configuration was read, in seconds."""
        return now - self.read_at

    def get_age_s(self, now: float) -> float:
        """Return the age of the newest proof in seconds."""
        return now - self.proven_at

    def is_fresh(self, now: float) -> bool:
        """Whether requests with keys may be served."""
        return not self.max_age_s or (
            self.get_age_s(now) <= self.max_age_s * PROOF_SHARE
        )

    def is_ready(self, now: float) -> bool:
        """Whether new connections should come here."""
        return not self.max_age_s or (
            self.get_age_s(now) <= self.max_age_s * READY_SHARE
        )
