"""
Restores of the store
=====================

The platform's store may come back from a copy that is some seconds old.  What
was acknowledged since is missing there until its writers have written it again,
so for that long the copy's word that nothing newer exists proves nothing.
"""

from dataclasses import dataclass

#: For how long after the first word of an epoch its copy may still lack what
#: was lost, in seconds: targets write again within two seconds of the store's
#: return, and the operator is taken to be no slower.
REWRITE_WAIT_S = 2.2
#: The epoch of a store that was never restored, at most.
FIRST_EPOCH = 1


@dataclass
class RestoreTracker:
    """Which copy of the store this instance knows, and what its word is worth.

    An `epoch` is the number of one copy; a store without any is never restored.
    `peer_epoch` is the newest one that another instance knew, `recorded_epoch`
    the newest one of which the store says that somebody has waited there for
    what was lost, and `complete_epoch` the newest one of which that is known.

    >>> restores = RestoreTracker()
    >>> restores.record_epoch(3, now=0), restores.is_complete(0)
    (False, False)
    >>> restores.set_recorded_epoch(3)
    >>> restores.is_complete(0)
    True
    >>> restores.record_epoch(4, now=9)
    True
    >>> restores.is_complete(9), restores.is_complete(12)
    (False, True)
    """

    epoch: int | None = None
    peer_epoch: int | None = None
    recorded_epoch: int | None = None
    complete_epoch: int | None = None
    epoch_seen_at: float = float('-inf')
    has_lived_through: bool = False

    def record_epoch(self, epoch: int | None, now: float) -> bool:
        """Take the epoch of what was read; return whether it is another one."""
        if epoch == self.epoch:
            return False
        is_restored = self.epoch is not None
        self.has_lived_through = is_restored
        self.epoch = epoch
        self.epoch_seen_at = now
        return is_restored and epoch != self.peer_epoch

    def record_peer_epoch(self, epoch: int | None) -> bool:
        """Take what another instance knows; return whether that is newer.

        It never keeps this one from serving: only what was read does.
        """
        known = max(_rank(self.epoch), _rank(self.peer_epoch))
        if known < 0 or _rank(epoch) <= known:
            return False
        self.peer_epoch = epoch
        return True

    def set_recorded_epoch(self, recorded: int | None) -> None:
        """Take the store's record of the newest epoch that was waited in.

        Where there is none nobody has ever waited: in the first epoch that is
        the first start, and nothing was lost.  In a later one the record itself
        may be among what was lost.
        """
        self.recorded_epoch = recorded
        if recorded is not None:
            self.complete_epoch = recorded
        elif _rank(self.epoch) <= FIRST_EPOCH and not self.has_lived_through:
            self.complete_epoch = self.epoch

    def needs_record(self, now: float) -> bool:
        """Whether the store is to know that this epoch was waited in."""
        is_recorded = _rank(self.recorded_epoch) >= _rank(self.epoch)
        return not is_recorded and self.is_complete(now)

    def is_complete(self, now: float) -> bool:
        """Whether the copy's word is whole again."""
        if self.epoch is None:
            return True
        if _rank(self.complete_epoch) >= self.epoch:
            return True
        return now - self.epoch_seen_at >= REWRITE_WAIT_S


def _rank(epoch: int | None) -> int:
    """Return the place of an epoch; none comes before all."""
    return -1 if epoch is None else epoch
