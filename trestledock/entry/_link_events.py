"""
Events of links
===============

Changes in what an entry knows of its own links to targets.
"""

from trestledock.entry._event import Event


class LinksDoubted(Event):
    """Targets that may share a link have failed without a success in between.

    `scope` is what they share: `all`, or one `data_centre`, `service` or
    `target`, which `scope_name` names. `failed` of them have failed since
    `since_ms` ago.
    """

    scope: str
    scope_name: str
    failed: int
    since_ms: int


class LinksRegained(Event):
    """A target whose link was doubtful or lost has answered over it."""

    scope: str
    scope_name: str
    peer: str
    after_ms: int
