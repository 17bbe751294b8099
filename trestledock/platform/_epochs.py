"""
Store epochs
============

Tracks from which copy of the platform's store a response comes.  Every response
carries an epoch number, which increases when the store is restored from an
older copy.  Data and offsets of one epoch are not valid in another.
"""

from dataclasses import dataclass
from http import HTTPStatus

import anyio

from trestledock.entry import DirectoryError, EpochDoubted, Head, emit

#: The epoch number, which increases by one with each restore from a copy.
EPOCH_HEADER = b'store-era'
#: After responses with inconsistent epochs for this long, in seconds, the store
#: is taken for a different store, and its epoch is accepted.  The time is
#: longer than any response is in transit, and much shorter than an operator's
#: reaction.
MISMATCH_TIMEOUT_S = 10.0
Epoch = int | None


@dataclass
class StoreEpochs:
    """The newest epoch that this process has received in any response.

    It is None if the store sends no epochs.
    """

    current: Epoch = None
    mismatch_since: float | None = None

    def record(self, head: Head) -> Epoch:
        """Record and return the epoch of a response.

        Raises `DirectoryError` if the epoch is older than the current one, or
        is missing although earlier responses had one: such a response proves
        nothing.  Error responses without an epoch are accepted, because they
        prove nothing anyway and may come from a proxy in front of the store.
        """
        epoch = _read_epoch(head.get_header(EPOCH_HEADER))
        if epoch is None and head.status >= HTTPStatus.BAD_REQUEST:
            return self.current
        if self._is_consistent(epoch):
            self.mismatch_since = None
        elif self._should_reject(epoch):
            raise DirectoryError(f'epoch {epoch} after {self.current}')
        self.current = epoch
        return epoch

    def _is_consistent(self, epoch: Epoch) -> bool:
        if self.current is None:
            return True
        return epoch is not None and epoch >= self.current

    def _should_reject(self, epoch: Epoch) -> bool:
        """Return whether an inconsistent response may just be late.

        The first inconsistent response starts the timeout.
        """
        now = anyio.current_time()
        if self.mismatch_since is None:
            self.mismatch_since = now
            emit(EpochDoubted(str(self.current), str(epoch)))
        if now - self.mismatch_since < MISMATCH_TIMEOUT_S:
            return True
        self.mismatch_since = None
        return False


def _read_epoch(text: str) -> Epoch:
    """Parse the epoch header; return None unless it is a whole number.

    >>> _read_epoch('7'), _read_epoch(''), _read_epoch('-1'), _read_epoch('x')
    (7, None, None, None)
    """
    return int(text) if text.isascii() and text.isdigit() else None
