"""
Events of links
===============

Changes in what an entry knows of its own links to targets.
"""

from trestledock.entry._event import Event


class LinksDoubted(Event):
    """Targets that may share a link have failed without a success in between.

    `scope` is what they share: `all`, or one `data_centre`, `service` or
    `target`, which `name` names. `failed` of them have failed since `since_ms`
    ago.
    """

    scope: str
    name: str
    failed: int
    since_ms: int


class LinksRegained(Event):
    """A target whose link was doubtful or lost has answered over it."""

    scope: str
    name: str
    peer: str
    after_ms: int
