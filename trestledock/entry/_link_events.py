"""
Events of links
===============

Changes in what an entry knows of its own links to targets, and connections to
targets by way of other entries.
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


class LinksLost(Event):
    """Another entry reaches a target that fails from here.

    The fields are as in `LinksDoubted`; `peer` is the target and `via` the
    other entry.
    """

    scope: str
    scope_name: str
    failed: int
    since_ms: int
    peer: str
    via: str


class SentThrough(Event):
    """A request goes to a target through another entry."""

    req: str
    peer: str
    via: str
    tunnel: str


class TunnelFailed(Event):
    """Another entry offers no tunnel, or does not reach the target (`sign`)."""

    tunnel: str
    peer: str
    via: str
    detail: str
    sign: str


class TunnelOpened(Event):
    """This entry passes on bytes between another entry and a target."""

    tunnel: str
    sender: str
    peer: str


class TunnelClosed(Event):
    """A tunnel through this entry has ended."""

    tunnel: str
    up_bytes: int
    down_bytes: int
    took_ms: int


class TunnelRefused(Event):
    """This entry opened no tunnel for another one."""

    tunnel: str
    reason: str


class LinksRegained(Event):
    """A target whose link was doubtful or lost has answered over it."""

    scope: str
    scope_name: str
    peer: str
    after_ms: int
