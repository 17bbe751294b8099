"""
Metrics
=======

The Prometheus counters, gauges and histograms of an entry instance.
"""

from types import MappingProxyType
from typing import Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from trestledock.process import Count, Node

#: Bucket bounds of the time to first token, in seconds.
TTFT_BOUNDS_S = (0.05, 0.1, 0.25, 0.5, 0.9, 1.5, 3, 6, 15, 60, 300)

#: Labelled counters by the name that the core uses: help text and label.
COUNTERS: Mapping[str, tuple[str, str]] = MappingProxyType(
    {
        'requests': ('Requests that arrived', 'kind'),
        'refused': ('Requests refused or given up', 'reason'),
        'retries': ('Attempts repeated', 'reason'),
        'attempts': ('Attempts sent to targets', 'length'),
        'outcome': ('Final answers', 'outcome'),
        'claims': ('Claims repeated or stale', 'event'),
        'orders': ('Orders to engines', 'event'),
        'taken_up_holds': ('Hold blocks taken up from lost peers', 'event'),
        'pauses': ('Pauses of the process that were noticed', 'event'),
    }
)

#: Help texts of counters without labels.
UNLABELLED_COUNTERS: Mapping[str, str] = MappingProxyType(
    {
        'tokens': 'Tokens passed on to callers',
        'slow_callers': 'Callers cut off because they did not read',
        'lost_peer_messages': 'Messages to peers that could not be delivered',
        'link_errors': 'Failures of a connection that were not foreseen',
        'lost_appends': 'Appends to the log without an answer',
    }
)

#: Help texts of gauges, which are set when metrics are rendered.
GAUGES: Mapping[str, str] = MappingProxyType(
    {
        'in_flight': 'Requests in flight',
        'version': 'Version of the configuration in force',
        'leaving_targets': 'Targets that get no new work',
        'peers': 'Peers that are not gone',
    }
)


class Metrics:
    """The metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        """Create all metrics."""
        self.registry = CollectorRegistry()
        self.counters = {
            name: Counter(
                f'trestledock_{name}',
                text,
                [label],
                registry=self.registry,
            )
            for name, (text, label) in COUNTERS.items()
        }
        self._unlabelled = {
            name: Counter(f'trestledock_{name}', text, registry=self.registry)
            for name, text in UNLABELLED_COUNTERS.items()
        }
        self.control_bytes = Counter(
            'trestledock_control_bytes',
            'Bytes of control sent and received',
            ['peer'],
            registry=self.registry,
        )
        self.poll_seconds = Histogram(
            'trestledock_poll_seconds',
            'How long polling a target took',
            registry=self.registry,
        )
        self.ttft = Histogram(
            'trestledock_ttft_seconds',
            'Time to first token',
            ['length'],
            buckets=TTFT_BOUNDS_S,
            registry=self.registry,
        )
        self._gauges = {
            name: Gauge(f'trestledock_{name}', text, registry=self.registry)
            for name, text in GAUGES.items()
        }

    def count(self, action: Count) -> None:
        """Count an event that the core reported."""
        self.counters[action.name].labels(action.label).inc()

    def add(self, name: str, amount: float = 1) -> None:
        """Increase a counter without labels."""
        self._unlabelled[name].inc(amount)

    def observe_first_token(self, length: str, seconds: float) -> None:
        """Observe the time to first token of a request."""
        self.ttft.labels(length).observe(seconds)

    def render(self, node: Node) -> bytes:
        """Return all metrics as text, with current values of the gauges."""
        state = node.state
        self._gauges['in_flight'].set(len(state.requests))
        self._gauges['version'].set(state.version.number)
        self._gauges['leaving_targets'].set(len(state.fleet.draining))
        peers = [
            peer
            for peer in state.fleet.peers.values()
            if not peer.is_unreachable
        ]
        self._gauges['peers'].set(len(peers))
        return generate_latest(self.registry)
