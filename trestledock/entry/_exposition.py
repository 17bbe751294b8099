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

from trestledock.entry._histogram import BOUNDS_S, HistogramCounts
from trestledock.entry._metrics import (
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
)
from trestledock.entry._outcome_metrics import (
    BREAKDOWNS,
    COUNTER_TEXT,
    ENDING_LABELS,
    HISTOGRAM_TEXT,
    OutcomeMetrics,
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
        yield from _collect_outcomes(self.metrics.outcomes)
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
    return HistogramMetricFamily(
        f'{PREFIX}_{name}_seconds',
        help_text,
        _make_buckets(histogram),
        histogram.total_s,
    )


def _make_buckets(histogram: HistogramCounts) -> list[tuple[str, float]]:
    bounds = [floatToGoString(bound) for bound in (*BOUNDS_S, INFINITY)]
    return list(zip(bounds, accumulate(histogram.counts), strict=True))


def _collect_outcomes(outcomes: OutcomeMetrics) -> Iterator[Metric]:
    """Yield a counter and a histogram for each breakdown."""
    for name, labels in BREAKDOWNS.items():
        words = name.replace('_', ' ')
        breakdown = outcomes.breakdowns[name]
        yield _make_counter(
            f'requests_by_{name}',
            f'{COUNTER_TEXT} {words}',
            (*labels, *ENDING_LABELS),
            {
                _make_encodable(key): count
                for key, count in breakdown.counts.items()
            },
        )
        family = HistogramMetricFamily(
            f'{PREFIX}_waited_by_{name}_seconds',
            f'{HISTOGRAM_TEXT} {words}',
            labels=labels,
        )
        for key, waits in breakdown.waits.items():
            family.add_metric(
                _make_encodable(key), _make_buckets(waits), waits.total_s
            )
        yield family


def _make_encodable(label_values: tuple[str, ...]) -> tuple[str, ...]:
    """Replace lone surrogates, which JSON allows in names but UTF-8 does not.

    >>> _make_encodable((chr(0xD800), 'a'))
    ('?', 'a')
    """
    return tuple(
        [text.encode(errors='replace').decode() for text in label_values]
    )


def render(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(_MetricsCollector(metrics, gauges))
    return generate_latest(registry)
