"""
Metrics of an entry
===================

Counters and histograms, mostly derived from the log events: a table lists which
events are counted, under which labels, and which of their fields are observed.
Label values come from small fixed sets, never from callers.
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Mapping

from trestledock.entry import _events as events
from trestledock.entry._histogram import HistogramCounts
from trestledock.entry._outcome_metrics import OutcomeMetrics

MS = 1000


@dataclass(frozen=True)
class Counter:
    """Counter of an event: its help text and the fields used as labels."""

    help_text: str
    labels: tuple[str, ...] = ()


@dataclass(frozen=True)
class TimeHistogram:
    """Histogram of an event: its name, help text and field in milliseconds."""

    name: str
    help_text: str
    event_field: str


COUNTERS: Mapping[type[events.Event], Counter] = MappingProxyType(
    {
        events.Admitted: Counter('Requests with a route and a team'),
        events.Refused: Counter('Requests given up', ('reason',)),
        events.SendingEnded: Counter(
            'Sendings without an answer',
            ('ending', 'step', 'sign', 'framing'),
        ),
        events.ForeignAnswer: Counter(
            'Answers read that were not those of the requests that waited',
            ('origin',),
        ),
        events.Repeated: Counter('Requests that went to another target'),
        events.Answered: Counter('Answers passed on', ('framing', 'end')),
        events.FailurePassedOn: Counter("Targets' failures passed on"),
        events.Cut: Counter('Replies that could not be completed', ('reason',)),
        events.CallerLeft: Counter('Callers that left before their answer'),
        events.CallerCut: Counter(
            'Connections closed as their callers do not read', ('reason',)
        ),
        events.RequestEnded: Counter(
            'Requests by outcome', ('outcome', 'reason')
        ),
        events.Yielded: Counter(
            'Requests that left engines to more urgent ones or other teams'
        ),
        events.MemoryRefused: Counter('Prompts whose memory was not granted'),
        events.OrderAnswered: Counter(
            'Orders to engines with an answer', ('operation',)
        ),
        events.OrderLost: Counter('Orders to engines without an answer'),
        events.TargetSuspected: Counter('Targets that fell silent'),
        events.LimitHeard: Counter(
            'Changes of what targets take a second', ('change',)
        ),
        events.NoticeIgnored: Counter(
            'Notices of targets without sense', ('notice',)
        ),
        events.LeaveHeard: Counter('Targets that said that they leave'),
        events.RestEnded: Counter('Rests of targets that are over'),
        events.RestHeard: Counter('Times that a target asked for rest'),
        events.SentAgainstNotice: Counter(
            'Requests sent to a target that leaves or rests', ('notice',)
        ),
        events.EvacuationBegun: Counter('Begins of evacuations'),
        events.SentToEvacuated: Counter(
            'Requests sent to an evacuated data centre'
        ),
        events.SentUnderLimit: Counter('Requests sent under a rate limit'),
        events.ColdHeard: Counter('Cold times of targets', ('change',)),
        events.ColdEnded: Counter('Ends of cold times of targets'),
        events.SentToCold: Counter('Requests sent to cold targets'),
        events.ColdWaited: Counter('Requests that waited for cold targets'),
        events.SurvivalChecked: Counter(
            'Checks of targets that ended answers by closing', ('survival',)
        ),
        events.TargetEnded: Counter(
            'Ends of targets while they ran a request', ('sign',)
        ),
        events.CrashExcused: Counter(
            'Ends of targets that a recent answer excuses'
        ),
        events.RequestQuarantined: Counter(
            'Requests or parts of prompts put in quarantine', ('kind',)
        ),
        events.RequestCleared: Counter(
            'Requests under which targets had ended, and that were answered'
        ),
        events.TrialGranted: Counter('Trials of requests in quarantine'),
        events.SuspectForgotten: Counter('Requests whose ends were forgotten'),
        events.StoreLost: Counter('Losses of the store', ('step',)),
        events.StoreRestored: Counter('Restores of the store from a copy'),
        events.EpochDoubted: Counter('Answers of the store without sense'),
        events.WrittenAgain: Counter(
            'Writes of what the store had lost', ('what',)
        ),
        events.Suspended: Counter('Pauses of the machine'),
        events.TargetHeld: Counter('Missing targets that may have lapsed'),
        events.ListDisturbed: Counter('Lists of targets after a disturbance'),
        events.OldRecord: Counter('Records of targets after newer ones'),
        events.RecordIgnored: Counter('Records of targets without sense'),
        events.LinksDoubted: Counter(
            'Times that links to targets became doubtful', ('scope',)
        ),
        events.LinksLost: Counter(
            'Times that links to targets were known to be lost', ('scope',)
        ),
        events.SentThrough: Counter('Requests sent through other entries'),
        events.TunnelFailed: Counter(
            'Failures to connect through other entries', ('sign',)
        ),
        events.TunnelOpened: Counter('Connections opened for other entries'),
        events.TunnelRefused: Counter('Connections refused to other entries'),
        events.PeerLost: Counter('Losses of other entries'),
        events.DatagramDropped: Counter('Datagrams that were lost here'),
        events.Failed: Counter('Unforeseen failures'),
        events.LinesLeftOut: Counter('Log lines left out', ('reason',)),
    }
)

EVENT_HISTOGRAMS: Mapping[type[events.Event], TimeHistogram] = MappingProxyType(
    {
        events.Placed: TimeHistogram(
            'placed_waited', 'From arrival to the choice', 'waited_ms'
        ),
        events.FirstEvent: TimeHistogram(
            'first_event_took', 'From sending to first event', 'took_ms'
        ),
        events.Answered: TimeHistogram(
            'answered_took', 'From sending to the whole answer', 'took_ms'
        ),
    }
)

#: Histograms that are not filled from events, in seconds.
OTHER_HISTOGRAMS: Mapping[str, str] = MappingProxyType(
    {
        'pause': 'Pauses between the events of streams',
        'store_read': 'Reads of the store',
    }
)

#: Help texts of all histograms by name.
HISTOGRAMS: Mapping[str, str] = MappingProxyType(
    {
        **{
            histogram.name: histogram.help_text
            for histogram in EVENT_HISTOGRAMS.values()
        },
        **OTHER_HISTOGRAMS,
    }
)

#: Help texts and labels of the counters of messages between entries.
MESSAGES_TEXT = 'Words between entries'
MESSAGE_BYTES_TEXT = 'Bytes of words between entries'
MESSAGES_LABELS = ('way', 'kind')

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
        'targets_cold': 'Targets that have just started',
        'rate_limits': 'Targets that take only so many requests a second',
        'rate_quota_per_second': 'Requests a second to such targets from here',
        'data_centres_evacuated': 'Data centres whose targets get nothing',
        'requests_quarantined': 'Requests that go to no target',
        'parts_quarantined': 'Parts of prompts with which none goes to targets',
        'requests_suspected': 'Requests and parts under which a target ended',
        'crashes_unconfirmed': 'Targets that may have ended under a request',
        'links_doubted': 'Links to targets that may be lost',
        'body_bytes': 'Bytes of requests that are held',
        'answer_bytes': 'Bytes of plain answers that are held',
        'unread_bytes': 'Bytes that callers have not read yet',
    }
)


#: Help text and labels of the gauge of requests that wait for room.
WAITING_TEXT = 'Requests that wait for room at engines, by rank'
WAITING_LABELS = ('rank',)

#: Counts by labels.
Counts = dict[tuple[str, ...], int]


def _make_initial_counts(counter: Counter) -> Counts:
    """Return the counts before the first event."""
    return {} if counter.labels else {(): 0}


class Metrics:
    """Metrics of one process, as plain numbers until they are requested."""

    def __init__(self) -> None:
        """Start with empty counts."""
        self.counts: dict[type[events.Event], Counts] = {
            kind: _make_initial_counts(counter)
            for kind, counter in COUNTERS.items()
        }
        self.messages: Counts = {}
        self.message_bytes: Counts = {}
        self.waiting: Counts = {}
        self.histograms: dict[str, HistogramCounts] = {
            name: HistogramCounts() for name in HISTOGRAMS
        }
        self.outcomes = OutcomeMetrics()

    def record_event(self, event: events.Event) -> None:
        """Count and observe an event, if it is in the tables."""
        kind = type(event)
        counter = COUNTERS.get(kind)
        if counter:
            labels = tuple([getattr(event, name) for name in counter.labels])
            counts = self.counts[kind]
            counts[labels] = counts.get(labels, 0) + 1
        histogram = EVENT_HISTOGRAMS.get(kind)
        if histogram:
            time_ms = getattr(event, histogram.event_field)
            self.histograms[histogram.name].add(time_ms / MS)
        if isinstance(event, events.RequestEnded):
            self.outcomes.record(event)

    def observe(self, name: str, seconds: float) -> None:
        """Observe a time in a histogram without an event."""
        self.histograms[name].add(seconds)

    def count_messages(
        self, direction: str, kind: str, size: int, count: int
    ) -> None:
        """Count messages between entries, of `size` bytes each."""
        labels = (direction, kind)
        self.messages[labels] = self.messages.get(labels, 0) + count
        known = self.message_bytes.get(labels, 0)
        self.message_bytes[labels] = known + size * count

    def count_waiting(self, rank: int, change: int) -> None:
        """Change the number of requests of a rank that wait for room."""
        labels = (str(rank),)
        self.waiting[labels] = self.waiting.get(labels, 0) + change

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Return all metrics as text, with the current gauges."""
        # Importing the renderer takes 30 ms, and few processes are scraped.
        from trestledock.entry._exposition import render  # noqa: WPS433

        return render(self, gauges)


#: Metrics of this process.
METRICS = Metrics()
