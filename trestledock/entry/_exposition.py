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
    WAITING_LABELS,
    WAITING_TEXT,
    Counts,
    Metrics,
    HistogramCounts,
)

PREFIX = 'trestledock'
#: Upper bound of the last bucket of a histogram.
INFINITY = float('inf')


class _MetricsCollector(Collector):
    """Collector of the current metrics of one process."""

    def __init__(self, metrics: Metrics, gauges: Mapping[str, float]) -> None:
        """Take the metrics and gauges to show."""
        self.metrics = metrics
        self.gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield every metric."""
        for kind, counter in COUNTERS.items():
            counts = self.metrics.counts[kind]
            yield _make_counter(
                kind.get_name(), counter.help_text, counter.labels, counts
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
        for name, help_text in HISTOGRAMS.items():
            yield _make_histogram(
                name, help_text, self.metrics.histograms[name]
            )
        for name, value in self.gauges.items():
            yield GaugeMetricFamily(f'{PREFIX}_{name}', GAUGES[name], value)
        yield _make_waiting_gauge(self.metrics.waiting)


def _make_counter(
    name: str,
    help_text: str,
    labels: tuple[str, ...],
    counts: Counts,
) -> Metric:
    family = CounterMetricFamily(f'{PREFIX}_{name}', help_text, labels=labels)
    for label_values, count in counts.items():
        family.add_metric(label_values, count)
    return family


def _make_waiting_gauge(counts: Counts) -> Metric:
    family = GaugeMetricFamily(
        f'{PREFIX}_requests_waiting', WAITING_TEXT, labels=WAITING_LABELS
    )
    for label_values, count in counts.items():
        family.add_metric(label_values, count)
    return family


def _make_histogram(
    name: str, help_text: str, histogram: HistogramCounts
) -> Metric:
    bounds = [floatToGoString(bound) for bound in (*BOUNDS_S, INFINITY)]
    buckets = list(zip(bounds, accumulate(histogram.counts), strict=True))
    return HistogramMetricFamily(
        f'{PREFIX}_{name}_seconds', help_text, buckets, histogram.total_s
    )


def render(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics, gauges))
    return generate_latest(registry)
