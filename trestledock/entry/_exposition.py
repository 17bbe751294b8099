"""
Exposition of the metrics
=========================

Converts the metrics of an entry for `prometheus_client`, which renders the
text.
"""

from itertools import accumulate
from typing import Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector
from prometheus_client.utils import floatToGoString

from trestledock.entry._metrics import (
    BOUNDS_S,
    COUNTERS,
    GAUGES,
    HISTOGRAMS,
    MESSAGES_LABELS,
    MESSAGE_BYTES_TEXT,
    MESSAGES_TEXT,
    Counts,
    Metrics,
    HistogramCounts,
)

PREFIX = 'trestledock'
#: Upper bound of the last bucket of a histogram.
LAST_BOUND = float('inf')


class _MetricsCollector(Collector):
    """Collector of the current metrics of one process."""

    def __init__(self, metrics: Metrics, gauges: Mapping[str, float]) -> None:
        """Take the metrics and gauges to show."""
        self.metrics = metrics
        self.gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield every metric."""
        for kind, counting in COUNTERS.items():
            counts = self.metrics.counts[kind]
            yield _make_counter(
                kind.get_name(), counting.text, counting.labels, counts
            )
        yield _make_counter(
            'words', MESSAGES_TEXT, MESSAGES_LABELS, self.metrics.messages
        )
        yield _make_counter(
            'word_bytes',
            MESSAGE_BYTES_TEXT,
            MESSAGES_LABELS,
            self.metrics.message_bytes,
        )
        for name, text in HISTOGRAMS.items():
            yield _make_histogram(name, text, self.metrics.histograms[name])
        for name, level in self.gauges.items():
            yield GaugeMetricFamily(f'{PREFIX}_{name}', GAUGES[name], level)


def _make_counter(
    name: str,
    text: str,
    labels: tuple[str, ...],
    counts: Counts,
) -> Metric:
    family = CounterMetricFamily(f'{PREFIX}_{name}', text, labels=labels)
    for settings, count in counts.items():
        family.add_metric(settings, count)
    return family


def _make_histogram(name: str, text: str, times: HistogramCounts) -> Metric:
    bounds = [floatToGoString(bound) for bound in (*BOUNDS_S, LAST_BOUND)]
    buckets = list(zip(bounds, accumulate(times.counts), strict=True))
    return HistogramMetricFamily(
        f'{PREFIX}_{name}_seconds', text, buckets, times.total_s
    )


def render(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics, gauges))
    return generate_latest(registry)
