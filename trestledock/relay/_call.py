"""
Calls
=====

A relayed request.  The body and the headers are passed to the target unchanged;
only what the decisions need is parsed.
"""

from dataclasses import dataclass
from hashlib import sha256


@dataclass(frozen=True)
class PromptSize:
    """The tokens of a prompt and the maximum number of output tokens."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total_tokens(self) -> int:
        """The KV tokens that the request needs at most."""
        return self.prompt_tokens + self.output_tokens


@dataclass(frozen=True)
class Body:
    """A body and its SHA-256 digest, computed while the body is received.

    Hashing costs 1.4 ms per megabyte; hashing each chunk as it arrives does not
    block other requests.
    """

    raw: bytes = b''
    digest: bytes = sha256().digest()

    @classmethod
    def from_bytes(cls, raw: bytes) -> 'Body':
        """Return a body that has been received completely."""
        return cls(raw, sha256(raw).digest())


@dataclass(frozen=True)
class Call:
    """One attempt of a caller, received completely.

    `arrived_at` and `deadline` are monotonic instants of this process.
    `headers` are those passed to the target.  `resume_after` is the id of the
    last event that the caller has received, or empty at the start of a stream.
    `parts` are the names of the parts of its prompt that other requests share.
    """

    req_id: str
    method: str
    path: str
    query: str
    host: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: Body
    arrived_at: float
    deadline: float | None = None
    key: str = ''
    size: PromptSize | None = None
    resume_after: str = ''
    parts: tuple[str, ...] = ()
