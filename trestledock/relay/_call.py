"""
Calls
=====

A request that is relayed as it came: the body and the headers that go on to
the target are opaque, and only what decisions need is read out of it.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class PromptSize:
    """The tokens of a prompt and the most that may be generated."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total_tokens(self) -> int:
        """The KV tokens that the request needs at its largest."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class Call:
    """One attempt of a caller, whole.

    `arrived_at` and `deadline` are monotonic instants of this process;
    `headers` are those that go on; `resume_after` is the id of the last event
    that the caller has, empty at the start of a stream.
    """

    req_id: str
    method: str
    path: str
    query: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_at: float
    deadline: float | None = None
    key: str = ''
    size: PromptSize | None = None
    resume_after: str = ''
