"""
Metrics of an entry
===================

Counters and histograms, mostly derived from the log events: a table lists which
events are counted, under which labels, and which of their fields are observed.
Label values come from small fixed sets, never from callers.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Mapping

from trestledock.entry import _events as events

#: Upper bounds of the time histograms, in seconds.
BOUNDS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10, 20)
MS = 1000


@dataclass(frozen=True)
class Counting:
    """Counter of an event: its help text and the fields used as labels."""

    text: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True)
class Timing:
    """Histogram of an event: its name, help text and field in milliseconds."""

    name: str
    text: str
    field: str


COUNTINGS: Mapping[type[events.Event], Counting] = MappingProxyType(
    {
        events.Admitted: Counting('Requests with a route and a team'),
        events.Refused: Counting('Requests given up', ('reason',)),
        events.SendingEnded: Counting(
            'Sendings without an answer', ('ending', 'step', 'sign')
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
        events.LimitHeard: Counting(
            'Changes of what targets take a second', ('change',)
        ),
        events.NoticeIgnored: Counting(
            'Notices of targets without sense', ('notice',)
        ),
        events.LeaveHeard: Counting('Targets that said that they leave'),
        events.RestEnded: Counting('Rests of targets that are over'),
        events.RestHeard: Counting('Times that a target asked for rest'),
        events.SentAgainstNotice: Counting(
            'Requests sent to a target that leaves or rests', ('notice',)
        ),
        events.SentUnderLimit: Counting('Requests sent under a rate limit'),
        events.TargetEnded: Counting(
            'Ends of targets while they ran a request', ('sign',)
        ),
        events.RequestQuarantined: Counting('Requests put in quarantine'),
        events.RequestCleared: Counting(
            'Requests under which targets had ended, and that were answered'
        ),
        events.TrialGranted: Counting('Trials of requests in quarantine'),
        events.SuspectForgotten: Counting('Requests whose ends were forgotten'),
        events.StoreLost: Counting('Losses of the store', ('step',)),
        events.StoreRestored: Counting('Restores of the store from a copy'),
        events.EpochDoubted: Counting('Answers of the store without sense'),
        events.WrittenAgain: Counting(
            'Writes of what the store had lost', ('what',)
        ),
        events.Suspended: Counting('Pauses of the machine'),
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
        events.Placed: Timing(
            'placed_waited', 'From arrival to the choice', 'waited_ms'
        ),
        events.FirstEvent: Timing(
            'first_event_took', 'From sending to first event', 'took_ms'
        ),
        events.Answered: Timing(
            'answered_took', 'From sending to the whole answer', 'took_ms'
        ),
    }
)

#: Histograms without an event, in seconds.
DIRECT: Mapping[str, str] = MappingProxyType(
    {
        'pause': 'Pauses between the events of streams',
        'store_read': 'Reads of the store',
    }
)

#: Help texts of all histograms by name.
TIMES: Mapping[str, str] = MappingProxyType(
    {**{timing.name: timing.text for timing in TIMINGS.values()}, **DIRECT}
)

#: Help texts and labels of the counters of messages between entries.
WORDS_TEXT = 'Words between entries'
WORD_BYTES_TEXT = 'Bytes of words between entries'
WORDS_LABELS = ('way', 'kind')

#: Help texts of the gauges, whose values are set on each request.
GAUGES: Mapping[str, str] = MappingProxyType(
    {
        'in_progress': 'Requests in progress',
        'proof_age_seconds': 'Age of what is known of the configuration',
        'read_age_seconds': 'Time since the configuration was read',
        'store_epoch': 'Epoch of the store, -1 for one that tells none',
        'version': 'Version of the configuration in force',
        'targets': 'Targets that are listed',
        'targets_held': 'Targets that are missing but may have lapsed',
        'targets_leaving': 'Targets that are there but take nothing new',
        'list_age_seconds': 'Age of what is known of the targets',
        'peers': 'Other entries that are heard',
        'targets_resting': 'Targets that want nothing from this entry now',
        'rate_limits': 'Targets that take only so many requests a second',
        'rate_quota_per_second': 'Requests a second to such targets from here',
        'requests_quarantined': 'Requests that go to no target',
        'requests_suspected': 'Requests under which a target has ended',
    }
)


#: Counts by labels.
Counts = dict[tuple[str, ...], int]


def _make_first(counting: Counting) -> Counts:
    """Return the counts before the first event."""
    return {} if counting.labels else {(): 0}


def _make_counts() -> list[int]:
    """Return a count for each bound, and one for larger values."""
    return [0 for _ in (*BOUNDS_S, None)]


@dataclass
class Times:
    """Histogram of times: counts by bucket, and the sum."""

    counts: list[int] = field(default_factory=_make_counts)
    total_s: float = 0

    def add(self, seconds: float) -> None:
        """Count one time."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class Metrics:
    """Metrics of one process, as plain numbers until they are requested."""

    def __init__(self) -> None:
        """Start with empty counts."""
        self.counts: dict[type[events.Event], Counts] = {
            kind: _make_first(counting) for kind, counting in COUNTINGS.items()
        }
        self.words: Counts = {}
        self.word_bytes: Counts = {}
        self.times: dict[str, Times] = {name: Times() for name in TIMES}

    def take(self, event: events.Event) -> None:
        """Count and observe an event, if it is in the tables."""
        kind = type(event)
        counting = COUNTINGS.get(kind)
        if counting:
            labels = tuple([getattr(event, name) for name in counting.labels])
            counts = self.counts[kind]
            counts[labels] = counts.get(labels, 0) + 1
        timing = TIMINGS.get(kind)
        if timing:
            taken_ms = getattr(event, timing.field)
            self.times[timing.name].add(taken_ms / MS)

    def observe(self, name: str, seconds: float) -> None:
        """Observe a time in a histogram without an event."""
        self.times[name].add(seconds)

    def count_words(self, way: str, kind: str, size: int, count: int) -> None:
        """Count messages between entries, of `size` bytes each."""
        labels = (way, kind)
        self.words[labels] = self.words.get(labels, 0) + count
        known = self.word_bytes.get(labels, 0)
        self.word_bytes[labels] = known + size * count

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Return all metrics as text, with the current gauges."""
        # Importing the renderer takes 30 ms, and few processes are scraped.
        from trestledock.entry._exposition import render  # noqa: WPS433

        return render(self, gauges)


#: Metrics of this process.
METRICS = Metrics()
