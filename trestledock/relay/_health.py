"""
Passive health checks
=====================

What the instance's own requests reveal about a target.  Silence and refused
connections make a target suspect for a time that doubles; failures go into an
average that weights the newest outcomes most.  No probes are sent: real
requests serve as probes.
"""

from dataclasses import dataclass, field

#: The weight of the newest outcome in the averages.
LEARNING_RATE = 0.25
#: The first and the longest time for which a silent target is avoided, in
#: seconds.
SUSPECT_BASE_S = 1.0
SUSPECT_CAP_S = 8.0
#: The number of early timeouts in a row after which a target is suspect.
MAX_EARLY_TIMEOUTS = 2
#: The number of targets of a data centre that must fall silent, and the window
#: in seconds in which they do, to make the whole data centre suspect; and for
#: how long at first and at most, in seconds.
MIN_SILENT_TARGETS = 2
SILENT_TARGETS_WINDOW_S = 1.5
DATA_CENTRE_SUSPECT_BASE_S = 0.8
DATA_CENTRE_SUSPECT_CAP_S = 2.5
#: The least interval between requests that try a data centre that was suspect,
#: in seconds: more than connecting may take.
PROBE_INTERVAL_S = 0.4
#: How long a data centre whose instances are silent is avoided, in seconds.
#: Its targets may be alive even if all its instances have ended.
MAX_SILENT_INSTANCES_S = 8.0
#: How long after a suspicion only small requests go to a data centre, in
#: seconds, unless a request was answered there: a prompt that is prefilled in
#: chunks is lost if any chunk is.
SMALL_ONLY_S = 5.0
#: The half-life of the failure average without new outcomes, in seconds.
HALF_LIFE_S = 6.0


@dataclass
class TargetHealth:
    """The outcomes of one incarnation of a target."""

    failures: float = 0
    updated_at: float = 0
    silences: int = 0
    early_timeouts: int = 0
    suspect_until: float = float('-inf')

    def get_failure_share(self, now: float) -> float:
        """Return the expected share of failing requests."""
        age = max(0, now - self.updated_at)
        return self.failures * 0.5 ** (age / HALF_LIFE_S)


@dataclass
class DataCentreHealth:
    """The reachability of a data centre.

    If several targets fall silent within a short time, or all instances there
    do, the network path is cut, and the remaining targets need not be tried one
    by one.  After the suspicion has lapsed, one request at a time tests whether
    the path is back; otherwise all waiting requests would try, and fail, at
    once.
    """

    silent_targets: dict[str, float] = field(default_factory=dict)
    suspect_until: float = float('-inf')
    probed_until: float = float('-inf')
    suspicions: int = 0
    instances_silent: bool = False

    def record_silence(self, target_id: str, now: float) -> None:
        """Record a silent target in the data centre."""
        self.silent_targets[target_id] = now
        recent = [
            at
            for at in self.silent_targets.values()
            if now - at <= SILENT_TARGETS_WINDOW_S
        ]
        if self.suspicions or len(recent) >= MIN_SILENT_TARGETS:
            self.suspect(now)

    def suspect(self, now: float) -> None:
        """Avoid the data centre, for longer each time."""
        if now < self.suspect_until:
            return
        wait_s = min(
            DATA_CENTRE_SUSPECT_CAP_S,
            DATA_CENTRE_SUSPECT_BASE_S * 2**self.suspicions,
        )
        self.suspicions += 1
        self.suspect_until = now + wait_s

    def record_silent_instances(self, now: float) -> None:
        """Avoid the data centre until its instances send messages again."""
        self.instances_silent = True
        self.suspicions += 1
        self.suspect_until = now + MAX_SILENT_INSTANCES_S

    def is_suspect(self, now: float, *, small: bool) -> bool:
        """Return whether a request should not be sent there now."""
        if not self.suspicions:
            return False
        if not small:
            return now < self.suspect_until + SMALL_ONLY_S
        return now < max(self.suspect_until, self.probed_until)

    def record_sent(self, now: float) -> None:
        """Record a request that tests whether the path is back."""
        if self.suspicions:
            self.probed_until = now + PROBE_INTERVAL_S


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
        """Return the health of a target."""
        return self.targets.setdefault(target_id, TargetHealth())

    def record_success(
        self, target_id: str, now: float, data_centre: str = ''
    ) -> None:
        """Record a correct answer."""
        self.data_centres.pop(data_centre, None)
        self._update_average(target_id, 0, now)
        target = self.get(target_id)
        target.silences = 0
        target.early_timeouts = 0
        target.suspect_until = float('-inf')

    def record_failure(self, target_id: str, now: float) -> None:
        """Record an answer that failed, was cut short or was invalid."""
        self._update_average(target_id, 1, now)

    def record_early_timeout(
        self, target_id: str, now: float, data_centre: str = ''
    ) -> None:
        """Record an early timeout; the target may only be busy.

        Another early timeout without an answer in between counts as silence.
        """
        self._update_average(target_id, 1, now)
        target = self.get(target_id)
        target.early_timeouts += 1
        if target.early_timeouts >= MAX_EARLY_TIMEOUTS:
            self.record_silence(target_id, now, data_centre)

    def record_silence(
        self, target_id: str, now: float, data_centre: str = ''
    ) -> None:
        """Record that no answer arrived or no connection was established."""
        if data_centre:
            centre_health = self.data_centres.setdefault(
                data_centre, DataCentreHealth()
            )
            centre_health.record_silence(target_id, now)
        target = self.get(target_id)
        if now < target.suspect_until:
            return
        wait_s = min(SUSPECT_CAP_S, SUSPECT_BASE_S * 2**target.silences)
        target.silences += 1
        target.suspect_until = now + wait_s

    def is_suspect(
        self,
        target_id: str,
        now: float,
        data_centre: str = '',
        *,
        small: bool = True,
    ) -> bool:
        """Return whether a target, or its whole data centre, should be avoided.

        Losing a `small` request to find out is acceptable.
        """
        centre_health = self.data_centres.get(data_centre)
        if centre_health is not None and centre_health.is_suspect(
            now, small=small
        ):
            return True
        known = self.targets.get(target_id)
        return known is not None and now < known.suspect_until

    def forget(self, target_id: str, data_centre: str) -> None:
        """Forget what silence and failures have told of a target."""
        self.data_centres.pop(data_centre, None)
        self.targets.pop(target_id, None)

    def is_silent(self, target_id: str) -> bool:
        """Return whether a target was silent and has not answered since."""
        known = self.targets.get(target_id)
        return known is not None and known.silences > 0

    def record_silent_data_centre(self, data_centre: str, now: float) -> bool:
        """Record that all instances of a data centre are silent.

        Return whether they were not silent before.
        """
        centre_health = self.data_centres.setdefault(
            data_centre, DataCentreHealth()
        )
        if centre_health.instances_silent:
            return False
        centre_health.record_silent_instances(now)
        return True

    def record_message(self, data_centre: str) -> None:
        """Record a message from an instance of a data centre.

        It ends a suspicion only if silence of the instances was its cause:
        messages may get through where requests don't.
        """
        centre_health = self.data_centres.get(data_centre)
        if centre_health and centre_health.instances_silent:
            self.data_centres.pop(data_centre)

    def record_sent(self, data_centre: str, now: float) -> None:
        """Record a request that is sent to a target of a data centre."""
        centre_health = self.data_centres.get(data_centre)
        if centre_health:
            centre_health.record_sent(now)

    def _update_average(self, target_id: str, failed: int, now: float) -> None:
        target = self.get(target_id)
        average = target.get_failure_share(now)
        target.failures = average + LEARNING_RATE * (failed - average)
        target.updated_at = now
