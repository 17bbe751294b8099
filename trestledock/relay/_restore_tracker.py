"""
Restores of the store
=====================

The platform's store may be restored from a backup that is some seconds old.
Later records are missing until their writers have written them again; for that
long, the store's statement that it has nothing newer proves nothing.
"""

from dataclasses import dataclass

#: How long after the first read of an epoch its records may be incomplete, in
#: seconds: targets write again within two seconds of the store's return, and
#: operators are assumed to be no slower.
REWRITE_WAIT_S = 2.2
#: The highest epoch of a store that was never restored.
FIRST_EPOCH = 1


@dataclass
class RestoreTracker:
    """The epoch of the store, and whether its records are complete.

    An `epoch` is the number of one copy of the store; a store without epochs is
    never restored.  `peer_epoch` is the newest epoch that another instance
    reported.  `recorded_epoch` is the newest epoch of which the store says that
    an instance waited there for missing records, and `complete_epoch` the
    newest one known to be complete for that reason.  `has_seen_restore` is set
    if the store was restored while this instance ran.

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
    has_seen_restore: bool = False

    def record_epoch(self, epoch: int | None, now: float) -> bool:
        """Record the epoch of a read; return whether the store was restored."""
        if epoch == self.epoch:
            return False
        is_restored = self.epoch is not None
        self.has_seen_restore = is_restored
        self.epoch = epoch
        self.epoch_seen_at = now
        return is_restored and epoch != self.peer_epoch

    def record_peer_epoch(self, epoch: int | None) -> bool:
        """Record an epoch known to a peer; return whether it is new.

        It never keeps this instance from serving: only epochs that it read
        itself do.
        """
        newest = max(_rank(self.epoch), _rank(self.peer_epoch))
        if newest < 0 or _rank(epoch) <= newest:
            return False
        self.peer_epoch = epoch
        return True

    def set_recorded_epoch(self, recorded: int | None) -> None:
        """Record the newest epoch that some instance has waited in, as stored.

        If there is none, no instance has ever waited.  In the first epoch this
        is the first start, and nothing was lost.  In a later epoch the record
        itself may be among the lost ones.
        """
        self.recorded_epoch = recorded
        if recorded is not None:
            self.complete_epoch = recorded
        elif _rank(self.epoch) <= FIRST_EPOCH and not self.has_seen_restore:
            self.complete_epoch = self.epoch

    def needs_record(self, now: float) -> bool:
        """Return whether to store that an instance has waited in this epoch."""
        is_recorded = _rank(self.recorded_epoch) >= _rank(self.epoch)
        return not is_recorded and self.is_complete(now)

    def is_complete(self, now: float) -> bool:
        """Return whether the store has all records again."""
        if self.epoch is None:
            return True
        if _rank(self.complete_epoch) >= self.epoch:
            return True
        return now - self.epoch_seen_at >= REWRITE_WAIT_S


def _rank(epoch: int | None) -> int:
    """Return the position of an epoch; None comes before all."""
    return -1 if epoch is None else epoch
