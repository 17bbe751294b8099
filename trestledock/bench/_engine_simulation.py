"""
Simulated engines
=================

A simulation of one engine as `EngineModel` describes it, on a virtual clock.
The engine works in passes: while a request decodes, a pass has `stride` steps,
and otherwise one; each step prefills a limited number of prompt tokens.  Chunks
of helpers are prefilled before other prompts, the newest helper chunk first.
Each pass produces one event for every decoding request.

Failures, queues and memory are not simulated: the model serves to compare
placement decisions, and its times are those that placement predicts with.
"""

from dataclasses import dataclass, field

from trestledock.relay import EngineModel, PassLoad, get_decode_pass_s

#: The most prompt tokens that one step prefills.
MAX_STEP_TOKENS = 2048


@dataclass
class PrefillChunk:
    """The remainder of a chunk of a prompt, in tokens and in seconds."""

    req_id: str
    tokens: float
    prefill_s: float
    is_helper: bool = False


@dataclass
class DecodingRequest:
    """A decoding request and the number of its remaining events."""

    req_id: str
    context_tokens: int
    events: int


@dataclass(frozen=True)
class PassResult:
    """The requests that a pass finished prefilling or produced events for."""

    prefilled: tuple[str, ...] = ()
    events: tuple[str, ...] = ()


@dataclass
class PassEngine:
    """One engine; `busy` is true during a pass.

    >>> engine = PassEngine(EngineModel(8, 232_000, 0.001, 200_000))
    >>> engine.add_chunk(PrefillChunk('r1', 2_000, 0.01))
    >>> round(engine.begin_pass(), 3), engine.end_pass().prefilled
    (0.011, ('r1',))
    """

    model: EngineModel
    busy: bool = False
    chunks: list[PrefillChunk] = field(default_factory=list)
    decoding: dict[str, DecodingRequest] = field(default_factory=dict)
    _prefilling: list[tuple[PrefillChunk, float]] = field(default_factory=list)
    _decoding: tuple[str, ...] = ()

    def add_chunk(self, chunk: PrefillChunk) -> None:
        """Add a chunk of a prompt, in front of all others for a helper."""
        if chunk.is_helper:
            self.chunks.insert(0, chunk)
        else:
            self.chunks.append(chunk)

    def remove_request(self, req_id: str) -> None:
        """Remove a request that its caller abandoned."""
        self.chunks = [chunk for chunk in self.chunks if chunk.req_id != req_id]
        self.decoding.pop(req_id, None)

    def has_work(self) -> bool:
        """Return whether there is anything to prefill or decode."""
        return bool(self.chunks or self.decoding)

    def begin_pass(self) -> float:
        """Begin a pass; return its duration in seconds."""
        self.busy = True
        self._decoding = tuple(self.decoding)
        steps = self.model.stride if self._decoding else 1
        self._prefilling = self._select_chunks(steps * MAX_STEP_TOKENS)
        prefill_s = sum(
            chunk.prefill_s * tokens / chunk.tokens
            for chunk, tokens in self._prefilling
        )
        if not self._decoding:
            return self.model.step_s + prefill_s
        context = sum(
            request.context_tokens for request in self.decoding.values()
        )
        load = PassLoad(len(self._decoding), context, prefill_s)
        return get_decode_pass_s(self.model, load)

    def end_pass(self) -> PassResult:
        """End the pass; return its results."""
        self.busy = False
        for chunk, tokens in self._prefilling:
            chunk.prefill_s -= chunk.prefill_s * tokens / chunk.tokens
            chunk.tokens -= tokens
        prefilled = tuple(
            chunk.req_id for chunk in self.chunks if chunk.tokens <= 0
        )
        self.chunks = [chunk for chunk in self.chunks if chunk.tokens > 0]
        events = tuple(
            req_id for req_id in self._decoding if req_id in self.decoding
        )
        for req_id in events:
            self._record_event(req_id)
        return PassResult(prefilled, events)

    def _select_chunks(self, budget: float) -> list[tuple[PrefillChunk, float]]:
        """Return the chunks that a pass prefills, with the tokens of each."""
        selected = []
        for chunk in self.chunks:
            tokens = min(chunk.tokens, budget)
            if tokens > 0:
                selected.append((chunk, tokens))
            budget -= tokens
        return selected

    def _record_event(self, req_id: str) -> None:
        request = self.decoding[req_id]
        request.events -= 1
        if request.events <= 0:
            self.decoding.pop(req_id)
