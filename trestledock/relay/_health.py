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
#: How long one request may try a data centre that was suspect before the next
#: one may, in seconds: above the time that a connection may take.
PROBE_S = 0.4
#: For how long a data centre is left alone whose instances are silent, in
#: seconds: its targets may live though they have all ended.
QUIET_MOST_S = 8.0
#: For how long after a suspicion only small requests go to a data centre, in
#: seconds, unless one was answered: a prompt that is read in parts is lost with
#: any of them.
DOUBT_S = 5.0
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
class DataCentreHealth:
    """The silence of a data centre.

    Several silent targets within a short time, or the silence of all instances
    there, mean that the way is cut; the others need not be tried one by one.
    Once the suspicion has lapsed, one request at a time finds out whether it
    still holds: all that waits would otherwise try, and lose, at once.
    """

    silent: dict[str, float] = field(default_factory=dict)
    suspect_until: float = float('-inf')
    probed_until: float = float('-inf')
    times: int = 0
    instances_silent: bool = False

    def note_silence(self, target_id: str, now: float) -> None:
        """Note a silent target there."""
        self.silent[target_id] = now
        recent = [
            at for at in self.silent.values() if now - at <= PLACE_WINDOW_S
        ]
        if self.times or len(recent) >= PLACE_TARGETS:
            self.suspect(now)

    def suspect(self, now: float) -> None:
        """Have the data centre left alone, for longer each time."""
        if now < self.suspect_until:
            return
        wait_s = min(PLACE_CAP_S, PLACE_BASE_S * 2**self.times)
        self.times += 1
        self.suspect_until = now + wait_s

    def note_quiet(self, now: float) -> None:
        """Have the data centre left alone until its instances are heard."""
        self.instances_silent = True
        self.times += 1
        self.suspect_until = now + QUIET_MOST_S

    def is_suspect(self, now: float, *, small: bool) -> bool:
        """Whether a request should not be sent there now."""
        if not self.times:
            return False
        if not small:
            return now < self.suspect_until + DOUBT_S
        return now < max(self.suspect_until, self.probed_until)

    def note_sent(self, now: float) -> None:
        """Note a request that finds out whether the way is back."""
        if self.times:
            self.probed_until = now + PROBE_S


@dataclass
class Health:
    """The health of all targets by id.

    >>> health = Health()
    >>> health.record_silence('t1', now=0)
    >>> health.is_suspect('t1', now=0.5), health.is_suspect('t1', now=1.5)
    (True, False)
    """

    targets: dict[str, TargetHealth] = field(default_factory=dict)
    data_centres: dict[str, DataCentreHealth] = field(default_factory=dict)

    def get(self, target_id: str) -> TargetHealth:
        """Return what is known of a target."""
        return self.targets.setdefault(target_id, TargetHealth())

    def record_success(
        self, target_id: str, now: float, data_centre: str = ''
    ) -> None:
        """Note an answer as it should be."""
        self.data_centres.pop(data_centre, None)
        self._learn(target_id, 0, now)
        one = self.get(target_id)
        one.silences = 0
        one.doubts = 0
        one.suspect_until = float('-inf')

    def record_failure(self, target_id: str, now: float) -> None:
        """Note an answer that failed, was cut short or made no sense."""
        self._learn(target_id, 1, now)

    def record_early_timeout(
        self, target_id: str, now: float, data_centre: str = ''
    ) -> None:
        """Note that a target was left early, though it may only be busy.

        Again without an answer in between, it counts as silent.
        """
        self._learn(target_id, 1, now)
        one = self.get(target_id)
        one.doubts += 1
        if one.doubts >= DOUBTS:
            self.record_silence(target_id, now, data_centre)

    def record_silence(
        self, target_id: str, now: float, data_centre: str = ''
    ) -> None:
        """Note that nothing came, or that no connection could be made."""
        if data_centre:
            known = self.data_centres.setdefault(
                data_centre, DataCentreHealth()
            )
            known.note_silence(target_id, now)
        one = self.get(target_id)
        if now < one.suspect_until:
            return
        wait_s = min(SUSPECT_CAP_S, SUSPECT_BASE_S * 2**one.silences)
        one.silences += 1
        one.suspect_until = now + wait_s

    def is_suspect(
        self,
        target_id: str,
        now: float,
        data_centre: str = '',
        *,
        small: bool = True,
    ) -> bool:
        """Whether a target, or all of its data centre, should be left alone.

        A `small` request is no great loss where it finds that out.
        """
        around = self.data_centres.get(data_centre)
        if around is not None and around.is_suspect(now, small=small):
            return True
        known = self.targets.get(target_id)
        return known is not None and now < known.suspect_until

    def is_silent(self, target_id: str) -> bool:
        """Whether a target was silent and has not answered since."""
        known = self.targets.get(target_id)
        return known is not None and known.silences > 0

    def record_silent_data_centre(self, data_centre: str, now: float) -> bool:
        """Note that all instances of a data centre are silent.

        Return whether that is news.
        """
        known = self.data_centres.setdefault(data_centre, DataCentreHealth())
        if known.instances_silent:
            return False
        known.note_quiet(now)
        return True

    def record_message(self, data_centre: str) -> None:
        """Note that an instance of a data centre has spoken.

        That ends the suspicion only where silence of the instances was its
        cause: words may come through where requests don't.
        """
        known = self.data_centres.get(data_centre)
        if known and known.instances_silent:
            self.data_centres.pop(data_centre)

    def record_sent(self, data_centre: str, now: float) -> None:
        """Note that a request goes to a target of a data centre."""
        known = self.data_centres.get(data_centre)
        if known:
            known.note_sent(now)

    def _learn(self, target_id: str, failed: int, now: float) -> None:
        one = self.get(target_id)
        known = one.get_failure_share(now)
        one.failures = known + LEARN * (failed - known)
        one.noted_at = now
