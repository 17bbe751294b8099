"""
Passive health
==============

What the own requests tell of a target.  Silence and refused connections make
it suspect for a time that doubles; failures are averaged with the newest
outcomes counting most.  No probe is sent: real requests are the probes.
"""

from dataclasses import dataclass, field

#: The weight of the newest outcome in the averages.
LEARN = 0.25
#: First and longest time for which a silent target is left alone, in seconds.
SUSPECT_BASE_S = 1.0
SUSPECT_CAP_S = 8.0
#: How many times in a row a target may be left early before it is suspect.
DOUBTS = 2
#: How many targets of a data centre that fall silent within how many seconds
#: make all of it suspect, and for how long at first and at most, in seconds.
PLACE_TARGETS = 2
PLACE_WINDOW_S = 1.5
PLACE_BASE_S = 0.8
PLACE_CAP_S = 2.5
#: An average of failures halves in this time without news, in seconds.
HALF_LIFE_S = 6.0


@dataclass
class TargetHealth:
    """The outcomes of one incarnation of a target."""

    failures: float = 0
    noted_at: float = 0
    silences: int = 0
    doubts: int = 0
    suspect_until: float = float('-inf')

    def get_failure_share(self, now: float) -> float:
        """Return the share of requests that are expected to fail."""
        age = max(0, now - self.noted_at)
        return self.failures * 0.5 ** (age / HALF_LIFE_S)


@dataclass
class PlaceHealth:
    """The silence of a data centre.

    Several silent targets within a short time mean that the way there is cut;
    the others need not be tried one by one.
    """

    silent: dict[str, float] = field(default_factory=dict)
    suspect_until: float = float('-inf')
    times: int = 0

    def note_silence(self, target_id: str, now: float) -> None:
        """Note a silent target there."""
        self.silent[target_id] = now
        recent = [
            at for at in self.silent.values() if now - at <= PLACE_WINDOW_S
        ]
        if len(recent) < PLACE_TARGETS or now < self.suspect_until:
            return
        wait_s = min(PLACE_CAP_S, PLACE_BASE_S * 2**self.times)
        self.times += 1
        self.suspect_until = now + wait_s


@dataclass
class Health:
    """The health of all targets by id.

    >>> health = Health()
    >>> health.note_silence('t1', now=0)
    >>> health.is_suspect('t1', now=0.5), health.is_suspect('t1', now=1.5)
    (True, False)
    """

    targets: dict[str, TargetHealth] = field(default_factory=dict)
    places: dict[str, PlaceHealth] = field(default_factory=dict)

    def get(self, target_id: str) -> TargetHealth:
        """Return what is known of a target."""
        return self.targets.setdefault(target_id, TargetHealth())

    def note_success(self, target_id: str, now: float, place: str = '') -> None:
        """Note an answer as it should be."""
        self.places.pop(place, None)
        self._learn(target_id, 0, now)
        one = self.get(target_id)
        one.silences = 0
        one.doubts = 0
        one.suspect_until = float('-inf')

    def note_failure(self, target_id: str, now: float) -> None:
        """Note an answer that failed, was cut short or made no sense."""
        self._learn(target_id, 1, now)

    def note_doubt(self, target_id: str, now: float, place: str = '') -> None:
        """Note that a target was left early, though it may only be busy.

        Again without an answer in between, it counts as silent.
        """
        self._learn(target_id, 1, now)
        one = self.get(target_id)
        one.doubts += 1
        if one.doubts >= DOUBTS:
            self.note_silence(target_id, now, place)

    def note_silence(self, target_id: str, now: float, place: str = '') -> None:
        """Note that nothing came, or that no connection could be made."""
        if place:
            known = self.places.setdefault(place, PlaceHealth())
            known.note_silence(target_id, now)
        one = self.get(target_id)
        if now < one.suspect_until:
            return
        wait_s = min(SUSPECT_CAP_S, SUSPECT_BASE_S * 2**one.silences)
        one.silences += 1
        one.suspect_until = now + wait_s

    def is_suspect(self, target_id: str, now: float, place: str = '') -> bool:
        """Whether a target, or all of its data centre, should be left alone."""
        around = self.places.get(place)
        if around is not None and now < around.suspect_until:
            return True
        known = self.targets.get(target_id)
        return known is not None and now < known.suspect_until

    def _learn(self, target_id: str, failed: int, now: float) -> None:
        one = self.get(target_id)
        known = one.get_failure_share(now)
        one.failures = known + LEARN * (failed - known)
        one.noted_at = now
