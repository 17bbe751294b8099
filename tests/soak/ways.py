"""
Ways to serve the callers of entries without links
==================================================

Runs the entry with one of several ways, for `tests.soak.cuts` to compare:
`none` puts each failure down to its target, `unready` reports unready and
closes callers' connections between two answers, `tunnel` goes through other
entries (the product), and `both` does both.
"""

import sys
from types import MappingProxyType
from typing import Any, Callable, Mapping

import anyio

from tests.soak.bound import bind_connections
from tests.soak.mutants import partitions
from trestledock.entry._connector import Connector
from trestledock.entry._state import EntryState
from trestledock.platform import run
from trestledock.relay import LinkHealth


def _use_no_tunnels() -> None:
    Connector._get_offering = lambda connector, now: []


def none() -> None:
    """Never doubt a link."""
    partitions()
    LinkHealth.is_cut_off = lambda links, now: False


def leave() -> None:
    """Report unready while all links are in doubt, and close connections."""
    is_ready, is_draining = EntryState.is_ready, EntryState.is_draining

    def is_ready_with_links(state: Any, now: float) -> bool:
        return is_ready(state, now) and not state.links.are_all_doubted(now)

    def closes_connections(state: Any) -> bool:
        now = anyio.current_time()
        return is_draining(state) or state.links.are_all_doubted(now)

    EntryState.is_ready = is_ready_with_links
    EntryState.is_draining = closes_connections


def unready() -> None:
    """Have callers go elsewhere, without tunnels."""
    _use_no_tunnels()
    leave()


def tunnel() -> None:
    """Leave the product as it is."""


WAYS: Mapping[str, Callable[[], None]] = MappingProxyType(
    {'none': none, 'unready': unready, 'tunnel': tunnel, 'both': leave}
)


if __name__ == '__main__':
    bind_connections()
    WAYS[sys.argv[1]]()
    run()
