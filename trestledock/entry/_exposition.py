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
    COUNTINGS,
    GAUGES,
    TIMES,
    WORDS_LABELS,
    WORD_BYTES_TEXT,
    WORDS_TEXT,
    Counts,
    Metrics,
    Times,
)

PREFIX = 'trestledock'
#: Upper bound of the last bucket of a histogram.
ABOVE_ALL = float('inf')


class _Numbers(Collector):
    """Collector of the current metrics of one process."""

    def __init__(self, metrics: Metrics, gauges: Mapping[str, float]) -> None:
        """Take the metrics and gauges to show."""
        self.metrics = metrics
        self.gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yield every metric."""
        for kind, counting in COUNTINGS.items():
            counts = self.metrics.counts[kind]
            yield _count(
                kind.get_name(), counting.text, counting.labels, counts
            )
        yield _count('words', WORDS_TEXT, WORDS_LABELS, self.metrics.words)
        yield _count(
            'word_bytes',
            WORD_BYTES_TEXT,
            WORDS_LABELS,
            self.metrics.word_bytes,
        )
        for name, text in TIMES.items():
            yield _observe(name, text, self.metrics.times[name])
        for name, level in self.gauges.items():
            yield GaugeMetricFamily(f'{PREFIX}_{name}', GAUGES[name], level)


def _count(
    name: str,
    text: str,
    labels: tuple[str, ...],
    counts: Counts,
) -> Metric:
    family = CounterMetricFamily(f'{PREFIX}_{name}', text, labels=labels)
    for settings, count in counts.items():
        family.add_metric(settings, count)
    return family


def _observe(name: str, text: str, times: Times) -> Metric:
    bounds = [floatToGoString(bound) for bound in (*BOUNDS_S, ABOVE_ALL)]
    buckets = list(zip(bounds, accumulate(times.counts), strict=True))
    return HistogramMetricFamily(
        f'{PREFIX}_{name}_seconds', text, buckets, times.total_s
    )


def render(metrics: Metrics, gauges: Mapping[str, float]) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(_Numbers(metrics, gauges))
    return generate_latest(registry)
