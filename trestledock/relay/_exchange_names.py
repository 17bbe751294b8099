"""
Names of exchanges
==================

Decides which exchange on a connection an answer belongs to.  A request is sent
with an id, the name of its exchange, and its answer bears that id; one without
any belongs to no request, whatever it says.  A target may send an answer a
second time, where the next one is expected, so a name identifies an answer only
on a connection that has carried it once.  An order has no name: its answer is
identified only by being the first on its connection.

>>> names = ExchangeNames()
>>> names.begin('r1')
>>> names.find_origin(NO_NAME).value, names.find_origin('r1').value
('unnamed', 'own')
>>> names.may_begin('r1'), names.may_begin(NO_NAME), names.may_begin('r2')
(False, False, True)
>>> names.begin('r2')
>>> names.find_origin('r1').value
'earlier'
"""

from enum import Enum

#: The maximum number of exchanges on a connection, which bounds the names that
#: are kept of it (some 13 KB).
MAX_EXCHANGES = 128
#: The name of an exchange whose answer bears no id.
NO_NAME = ''


class AnswerOrigin(str, Enum):
    """Whose answer was read: that of the exchange in progress, or another.

    `earlier` means that an earlier exchange on the connection had an answer of
    this name, `unknown` that none had, and `unnamed` that nothing tells.
    """

    own = 'own'
    earlier = 'earlier'
    unknown = 'unknown'
    unnamed = 'unnamed'


class ExchangeNames:
    """The names of the exchanges on one connection.

    Hashes of names are kept, since ids are as long as their callers like; two
    names with one hash only cost another connection.  `is_named` is true once
    the exchange in progress has an answer with its name.
    """

    def __init__(self) -> None:
        """Start with a new connection."""
        self.count = 0
        self.is_named = False
        self._name = NO_NAME
        self._answered: set[int] = set()

    @property
    def is_spent(self) -> bool:
        """Whether the connection may carry no further exchange."""
        return self.count >= MAX_EXCHANGES

    def may_begin(self, name: str) -> bool:
        """Return whether the answer of an exchange could be identified."""
        if name == NO_NAME:
            return not self.count
        return hash(name) not in self._answered

    def begin(self, name: str) -> None:
        """Record that an exchange begins."""
        self.count += 1
        self.is_named = False
        self._name = name

    def find_origin(self, name: str) -> AnswerOrigin:
        """Return whose answer one with this name is."""
        if name == NO_NAME and not self._is_first_unnamed():
            return AnswerOrigin.unnamed
        if hash(name) in self._answered:
            return AnswerOrigin.earlier
        if name != self._name:
            return AnswerOrigin.unknown
        self.is_named = name != NO_NAME
        self._answered.add(hash(name))
        return AnswerOrigin.own

    def _is_first_unnamed(self) -> bool:
        """Return whether the next answer is the first, and that of an order."""
        is_first = self.count == 1 and not self._answered
        return is_first and self._name == NO_NAME
