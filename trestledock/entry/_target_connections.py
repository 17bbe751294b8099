"""
Connections between an entry and the targets
============================================

Puts together what opens, keeps and probes connections to targets, for this
entry and for others.
"""

from trestledock.entry._connector import Connector
from trestledock.entry._dialect import Dialect
from trestledock.entry._gossip import Gossip
from trestledock.entry._link_probes import LinkProber
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._tunnel_server import TunnelServer


def start_connections(
    state: EntryState, gossip: Gossip, dialect: Dialect
) -> tuple[Pool, TunnelServer]:
    """Start to probe doubtful links; return the pool and the tunnels."""
    connector = Connector(state, gossip.peers)
    pool = Pool(state.spawn, connector)
    state.isolation.hooks.reconnect = pool.check_connection
    state.keep_running(LinkProber(state, connector, dialect).run)
    return pool, TunnelServer(state, gossip)
