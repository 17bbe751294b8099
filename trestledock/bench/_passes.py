"""
Engines that work in passes
===========================

A model of one engine as `EngineModel` describes it, on a virtual clock.  All
waiting work is done in passes: where a request is writing, a pass runs
`stride` steps and reads a chunk in each; else it is one step.  Helpers' parts
are read before own prompts, and newer parts before older ones.  Each pass
gives every writer one event.

The model says nothing of failures, queues or memory: it is for comparing
decisions on load, and its times are those that placement predicts from.
"""

from dataclasses import dataclass, field

from trestledock.relay import EngineModel, PassLoad, get_decode_pass_s

#: Prompt tokens that a step reads at most.
CHUNK_TOKENS = 2048


@dataclass
class Part:
    """What is left of a part of a prompt, in tokens and in seconds."""

    req_id: str
    tokens: float
    read_s: float
    helping: bool = False


@dataclass
class Writer:
    """A request that is being answered, with the events that are left."""

    req_id: str
    context_tokens: int
    events: int


@dataclass(frozen=True)
class PassEnd:
    """What a pass brought: parts read to the end, and events by request."""

    read: tuple[str, ...] = ()
    events: tuple[str, ...] = ()


@dataclass
class PassEngine:
    """One engine; `busy` while a pass is under way.

    >>> engine = PassEngine(EngineModel(8, 232_000, 0.001, 200_000))
    >>> engine.add_part(Part('r1', 2_000, 0.01))
    >>> round(engine.begin(), 3), engine.end().read
    (0.011, ('r1',))
    """

    model: EngineModel
    busy: bool = False
    parts: list[Part] = field(default_factory=list)
    writers: dict[str, Writer] = field(default_factory=dict)
    _reading: list[tuple[Part, float]] = field(default_factory=list)
    _writing: tuple[str, ...] = ()

    def add_part(self, part: Part) -> None:
        """Take a part of a prompt: a helper's goes before all others."""
        if part.helping:
            self.parts.insert(0, part)
        else:
            self.parts.append(part)

    def drop(self, req_id: str) -> None:
        """Forget a request whose caller has left."""
        self.parts = [part for part in self.parts if part.req_id != req_id]
        self.writers.pop(req_id, None)

    def has_work(self) -> bool:
        """Whether there is anything to read or to write."""
        return bool(self.parts or self.writers)

    def begin(self) -> float:
        """Begin a pass; return how long it takes in seconds."""
        self.busy = True
        self._writing = tuple(self.writers)
        steps = self.model.stride if self._writing else 1
        self._reading = self._pick(steps * CHUNK_TOKENS)
        read_s = sum(
            part.read_s * tokens / part.tokens for part, tokens in self._reading
        )
        if not self._writing:
            return self.model.step_s + read_s
        context = sum(one.context_tokens for one in self.writers.values())
        load = PassLoad(len(self._writing), context, read_s)
        return get_decode_pass_s(self.model, load)

    def end(self) -> PassEnd:
        """End the pass; return what it brought."""
        self.busy = False
        for part, tokens in self._reading:
            part.read_s -= part.read_s * tokens / part.tokens
            part.tokens -= tokens
        read = tuple(part.req_id for part in self.parts if part.tokens <= 0)
        self.parts = [part for part in self.parts if part.tokens > 0]
        events = tuple(one for one in self._writing if one in self.writers)
        for req_id in events:
            self._write_event(req_id)
        return PassEnd(read, events)

    def _pick(self, budget: float) -> list[tuple[Part, float]]:
        """Return the parts that a pass reads, with the tokens of each."""
        picked = []
        for part in self.parts:
            tokens = min(part.tokens, budget)
            if tokens > 0:
                picked.append((part, tokens))
            budget -= tokens
        return picked

    def _write_event(self, req_id: str) -> None:
        writer = self.writers[req_id]
        writer.events -= 1
        if writer.events <= 0:
            self.writers.pop(req_id)
