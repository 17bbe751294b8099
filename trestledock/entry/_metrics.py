"""
Metrics of an entry
===================

Counters and histograms, mostly made from the log events: a table says which
event counts where, under which labels, and which of its fields is observed.
Labels come from small fixed sets, never from callers.
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from trestledock.entry import _events as events

#: Upper bounds of the histograms of times, in seconds.
BOUNDS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10, 20)
MS = 1000


@dataclass(frozen=True)
class Counting:
    """How an event counts: the fields that become labels."""

    text: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True)
class Timing:
    """How an event is observed: a field in milliseconds."""

    text: str
    field: str


COUNTINGS: Mapping[type[events.Event], Counting] = MappingProxyType(
    {
        events.Admitted: Counting('Requests with a route and a team'),
        events.Refused: Counting('Requests given up', ('reason',)),
        events.SendingEnded: Counting(
            'Sendings without an answer', ('ending', 'step')
        ),
        events.Repeated: Counting('Requests that went to another target'),
        events.Answered: Counting('Answers passed on whole'),
        events.FailurePassedOn: Counting("Targets' failures passed on"),
        events.Cut: Counting(
            'Replies that could not be completed', ('reason',)
        ),
        events.CallerLeft: Counting('Callers that left before their answer'),
        events.MemoryRefused: Counting('Prompts whose memory was not granted'),
        events.OrderLost: Counting('Orders to engines without an answer'),
        events.TargetSuspected: Counting('Targets that fell silent'),
        events.StoreLost: Counting('Losses of the store', ('step',)),
        events.TargetHeld: Counting('Missing targets that may have lapsed'),
        events.ListDisturbed: Counting('Lists of targets after a disturbance'),
        events.OldRecord: Counting('Records of targets after newer ones'),
        events.RecordIgnored: Counting('Records of targets without sense'),
        events.PeerLost: Counting('Losses of other entries'),
        events.DatagramDropped: Counting('Datagrams that were lost here'),
        events.Failed: Counting('Unforeseen failures'),
        events.LinesLeftOut: Counting('Log lines left out', ('reason',)),
    }
)

TIMINGS: Mapping[type[events.Event], Timing] = MappingProxyType(
    {
        events.Placed: Timing('From arrival to the choice', 'waited_ms'),
        events.FirstEvent: Timing('From sending to first event', 'took_ms'),
        events.Answered: Timing('From sending to the whole answer', 'took_ms'),
    }
)

#: Histograms that are observed directly, in seconds.
DIRECT: Mapping[str, str] = MappingProxyType(
    {
        'pause': 'Pauses between the events of streams',
        'store_read': 'Reads of the store',
    }
)

#: Gauges, set when they are read.
GAUGES: Mapping[str, str] = MappingProxyType(
    {
        'in_progress': 'Requests in progress',
        'proof_age_seconds': 'Age of what is known of the configuration',
        'version': 'Version of the configuration in force',
        'targets': 'Targets that are listed',
        'targets_held': 'Targets that are missing but may have lapsed',
        'list_age_seconds': 'Age of what is known of the targets',
        'peers': 'Other entries that are heard',
    }
)


class Metrics:
    """The metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        """Create every metric."""
        self.registry = CollectorRegistry()
        self._counters = {
            kind: Counter(
                f'trestledock_{kind.get_name()}',
                counting.text,
                counting.labels,
                registry=self.registry,
            )
            for kind, counting in COUNTINGS.items()
        }
        self._timings = {
            kind: self._make_histogram(
                f'{kind.get_name()}_{timing.field.removesuffix("_ms")}',
                timing.text,
            )
            for kind, timing in TIMINGS.items()
        }
        self._direct = {
            name: self._make_histogram(name, text)
            for name, text in DIRECT.items()
        }
        self._gauges = {
            name: Gauge(f'trestledock_{name}', text, registry=self.registry)
            for name, text in GAUGES.items()
        }

    def take(self, event: events.Event) -> None:
        """Count and observe an event, if the tables say so."""
        kind = type(event)
        counter = self._counters.get(kind)
        if counter:
            names = COUNTINGS[kind].labels
            labels = {name: getattr(event, name) for name in names}
            (counter.labels(**labels) if labels else counter).inc()
        histogram = self._timings.get(kind)
        if histogram:
            taken_ms = getattr(event, TIMINGS[kind].field)
            histogram.observe(taken_ms / MS)

    def observe(self, name: str, seconds: float) -> None:
        """Observe a time on one of the direct histograms."""
        self._direct[name].observe(seconds)

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Return everything as text, with the gauges as of now."""
        for name, level in gauges.items():
            self._gauges[name].set(level)
        return generate_latest(self.registry)

    def _make_histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f'trestledock_{name}_seconds',
            text,
            buckets=BOUNDS_S,
            registry=self.registry,
        )


#: The metrics of this process.
METRICS = Metrics()
