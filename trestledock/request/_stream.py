"""
Stream assembly
===============

Reorders the chunks of a streamed answer.  Only chunks of the current attempt
are accepted.  Duplicates are dropped and early chunks are buffered.  The stream
is complete only after the engine's final marker has arrived and every chunk
before it has been forwarded.
"""

from dataclasses import dataclass, field

#: The most early chunks that are buffered while one is missing.
MAX_EARLY_CHUNKS = 4096


@dataclass(frozen=True)
class Chunk:
    """A part of an answer: `tokens` tokens, starting at token `index`."""

    index: int
    text: str
    tokens: int = 1


@dataclass
class Assembler:
    """Reorders the chunks of one answer.

    >>> assembler = Assembler(attempt=1)
    >>> assembler.push(1, Chunk(1, 'b'))
    ()
    >>> [chunk.text for chunk in assembler.push(1, Chunk(0, 'a'))]
    ['a', 'b']
    """

    attempt: int
    next_index: int = 0
    expected: int | None = None
    _early: dict[int, Chunk] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Return whether all tokens up to the final marker were forwarded."""
        return self.expected is not None and self.next_index >= self.expected

    def push(self, attempt: int, chunk: Chunk) -> tuple[Chunk, ...]:
        """Add a chunk; return the chunks that can now be forwarded."""
        if attempt != self.attempt or chunk.index < self.next_index:
            return ()
        if len(self._early) < MAX_EARLY_CHUNKS:
            self._early.setdefault(chunk.index, chunk)
        return tuple(self._pop_ready())

    def finish(self, attempt: int, count: int) -> None:
        """Record the final marker: the answer has `count` tokens in total."""
        if attempt == self.attempt:
            self.expected = count

    def switch(self, attempt: int) -> None:
        """Continue with another attempt, after the tokens already forwarded."""
        self.attempt = attempt
        self.expected = None
        self._early.clear()

    def _pop_ready(self) -> list[Chunk]:
        ready = []
        while self.next_index in self._early:
            chunk = self._early.pop(self.next_index)
            ready.append(chunk)
            self.next_index += chunk.tokens
        return ready
