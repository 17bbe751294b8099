"""
Stream assembly
===============

Puts the chunks of one answer in order.  Only chunks of the live attempt count;
repeats are dropped, early ones wait, and the end is reported only when the
engine's final marker has come and every chunk before it has been passed on.
"""

from dataclasses import dataclass, field

#: How many early chunks may wait for a missing one.
MAX_EARLY_CHUNKS = 4096


@dataclass(frozen=True)
class Chunk:
    """A piece of an answer: `tokens` tokens from token `index` on."""

    index: int
    text: str
    tokens: int = 1


@dataclass
class Assembler:
    """The order keeper of one answer.

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
        """Whether every token up to the final marker has been passed on."""
        return self.expected is not None and self.next_index >= self.expected

    def push(self, attempt: int, chunk: Chunk) -> tuple[Chunk, ...]:
        """Take a chunk; return those that may now go to the caller."""
        if attempt != self.attempt or chunk.index < self.next_index:
            return ()
        if len(self._early) < MAX_EARLY_CHUNKS:
            self._early.setdefault(chunk.index, chunk)
        return tuple(self._release())

    def finish(self, attempt: int, count: int) -> None:
        """Take the final marker: the answer has `count` tokens in all."""
        if attempt == self.attempt:
            self.expected = count

    def switch(self, attempt: int) -> None:
        """Continue with another attempt, after the tokens passed on so far."""
        self.attempt = attempt
        self.expected = None
        self._early.clear()

    def _release(self) -> list[Chunk]:
        ready = []
        while self.next_index in self._early:
            chunk = self._early.pop(self.next_index)
            ready.append(chunk)
            self.next_index += chunk.tokens
        return ready
