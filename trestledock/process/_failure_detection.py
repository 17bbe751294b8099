"""
Failure detection
=================

Tracks when each member of the data centre was last heard, directly or through
other members.  Heartbeats carry these ages as one character per member, in the
order of the epoch's members: messages stay small, and with a fixed fan-out the
ages reach every member within a few heartbeats.
"""

from dataclasses import dataclass, field

#: The resolution of an encoded age, in seconds.
AGE_STEP_S = 0.25
_DIGITS = '0123456789abcdefghijklmnopqrstuvwxyz'


@dataclass
class Liveness:
    """The instants at which members were last heard."""

    heard_at: dict[str, float] = field(default_factory=dict)

    def record_heard(self, member: str, at: float) -> None:
        """Record that `member` was alive at the instant `at`."""
        self.heard_at[member] = max(at, self.heard_at.get(member, at))

    def get_age(self, member: str, now: float) -> float:
        """Return the seconds since `member` was last known to be alive."""
        return now - self.heard_at.get(member, float('-inf'))

    def encode(self, members: tuple[str, ...], now: float) -> str:
        """Encode the ages of `members`; the largest digit means unknown."""
        return ''.join(
            _DIGITS[self._get_step(self.get_age(member, now))]
            for member in members
        )

    def merge(self, members: tuple[str, ...], ages: str, now: float) -> None:
        """Merge the encoded ages of a peer."""
        for member, digit in zip(members, ages):
            step = _DIGITS.find(digit)
            if 0 <= step < len(_DIGITS) - 1:
                self.record_heard(member, now - (step + 1) * AGE_STEP_S)

    def expire(self, now: float, retention_s: float) -> None:
        """Drop members not heard for `retention_s` seconds."""
        self.heard_at = {
            member: at
            for member, at in self.heard_at.items()
            if now - at < retention_s
        }

    def _get_step(self, age: float) -> int:
        last = len(_DIGITS) - 1
        return last if age > last * AGE_STEP_S else int(age / AGE_STEP_S)
