"""
Epochs of the store
===================

Which copy of the platform's store an answer is from.  Each answer bears a
number that rises as the store comes back from an older copy; what was read, or
given out, under one number says nothing under another.
"""

from dataclasses import dataclass
from http import HTTPStatus

import anyio

from trestledock.entry import DirectoryError, EpochDoubted, Head, emit

#: The number that rises by one each time the store came back from a copy.
HEADER = b'store-era'
#: A store that goes on for so long, in seconds, with epochs that make no sense
#: beside those before is another store: longer than any answer is under way,
#: and short beside what an operator takes to look.
DOUBT_S = 10.0
Epoch = int | None


@dataclass
class StoreEpochs:
    """The newest epoch that any call of one process has heard.

    It is None for a store that tells none.
    """

    current: Epoch = None
    doubted_at: float | None = None

    def record(self, head: Head) -> Epoch:
        """Return the epoch of an answer.

        Raises a `DirectoryError` for one that is older than what was heard, or
        that tells none where others did: it proves nothing.  A refusal proves
        nothing in any case, and whoever refuses need not be the store itself.
        """
        told = _read_epoch(head.get_header(HEADER))
        if told is None and head.status >= HTTPStatus.BAD_REQUEST:
            return self.current
        if self._is_sound(told):
            self.doubted_at = None
        elif self._is_in_doubt(told):
            raise DirectoryError(f'epoch {told} after {self.current}')
        self.current = told
        return told

    def _is_sound(self, told: Epoch) -> bool:
        if self.current is None:
            return True
        return told is not None and told >= self.current

    def _is_in_doubt(self, told: Epoch) -> bool:
        """Whether an answer may still be a stray one; begins the doubt."""
        now = anyio.current_time()
        if self.doubted_at is None:
            self.doubted_at = now
            emit(EpochDoubted(str(self.current), str(told)))
        if now - self.doubted_at < DOUBT_S:
            return True
        self.doubted_at = None
        return False


def _read_epoch(text: str) -> Epoch:
    """Return what a header says, or None where that is no whole number.

    >>> _read_epoch('7'), _read_epoch(''), _read_epoch('-1'), _read_epoch('x')
    (7, None, None, None)
    """
    return int(text) if text.isascii() and text.isdigit() else None
