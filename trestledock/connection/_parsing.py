"""
Request parsing
===============

Parses HTTP requests of callers into `Request` objects.  Invalid requests raise
`BadRequest` with a clear message before anything is dispatched.
"""

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from starlette.requests import Request as HttpRequest

from trestledock.connection._settings import Settings
from trestledock.process import rank_by_key
from trestledock.relay import (
    RequestIdentity,
    get_fingerprint,
    get_part_names,
)
from trestledock.request import Kind, Model, Request
from trestledock.version import Configuration, Team

TEAM_HEADER = 'trestledock-team'
DEADLINE_HEADER = 'trestledock-deadline-ms'
HOME_HEADER = 'trestledock-home'
ATTEMPT_HEADER = 'trestledock-attempt'
KEY_HEADER = 'idempotency-key'
#: Ids of the parts of the prompt in order, comma-separated; the last part is
#: the request's own.
PARTS_HEADER = 'trestledock-prompt-parts'

#: Prompt tokens in each block that is hashed for prefix affinity.
BLOCK_TOKENS = 512
#: The most blocks that are hashed.
MAX_BLOCKS = 64
#: The largest accepted values.
MAX_DEADLINE_MS = 86_400_000
MAX_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 256
MAX_KEY_LENGTH = 256
MS = 1000
TOO_LARGE_STATUS = 413
SAFE_METHODS = frozenset(('GET', 'HEAD'))


class BadRequest(Exception):
    """An invalid request; `status` is the status of the response."""

    def __init__(self, detail: str, status: int = 400) -> None:
        """Set the message for the caller."""
        super().__init__(detail)
        self.detail = detail
        self.status = status


@dataclass(frozen=True)
class Envelope:
    """The values from the headers of a request."""

    team: str
    deadline: float
    idempotency_key: str
    home: str
    first_attempt: bool
    parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class Completion:
    """The body of a completion request."""

    prompt: str
    model: Model
    max_tokens: int
    stream: bool


async def read_body(http: HttpRequest, settings: Settings) -> bytes:
    """Read a body up to the maximum size."""
    parts = []
    size = 0
    async for part in http.stream():
        size += len(part)
        if size > settings.max_body_bytes:
            limit = settings.max_body_bytes
            raise BadRequest(
                f'the body exceeds {limit} bytes', TOO_LARGE_STATUS
            )
        parts.append(part)
    return b''.join(parts)


def read_envelope(
    http: HttpRequest,
    cfg: Configuration | None,
    now: float,
) -> Envelope:
    """Read the headers; defaults come from the team's configuration."""
    name = http.headers.get(TEAM_HEADER, '')
    if not name:
        raise BadRequest(f'the header {TEAM_HEADER} is missing')
    known = cfg.get_team_by_name(name) if cfg else None
    team = known or Team(name, deadline_ms=MAX_DEADLINE_MS)
    key = http.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_LENGTH:
        raise BadRequest(f'{KEY_HEADER} exceeds {MAX_KEY_LENGTH} characters')
    home = http.headers.get(HOME_HEADER) or team.home
    if cfg and home and home not in cfg.data_centres:
        raise BadRequest(f'{home} is not a known data centre')
    if cfg and not home:
        home = rank_by_key(f'{name}/{key}', cfg.data_centres)[0]
    return Envelope(
        name,
        now + _read_deadline(http, team.deadline_ms) / MS,
        key,
        home,
        http.headers.get(ATTEMPT_HEADER) == '1',
        get_part_names(http.headers.get(PARTS_HEADER, '').split(',')),
    )


def read_completion(body: bytes) -> Completion:
    """Read the JSON body of a completion."""
    try:
        data = json.loads(body)
    except ValueError as exc:
        raise BadRequest(f'the body is not JSON: {exc}') from exc
    if not isinstance(data, dict):
        raise BadRequest('the body must be a JSON object')
    prompt = _get_field(data, 'prompt', str, None)
    if not prompt:
        raise BadRequest('the prompt is empty')
    max_tokens = _get_field(data, 'max_tokens', int, DEFAULT_MAX_TOKENS)
    if not 0 < max_tokens <= MAX_TOKENS:
        raise BadRequest(f'max_tokens must be 1 to {MAX_TOKENS}')
    return Completion(
        prompt,
        Model(
            _get_field(data, 'model', str, None),
            _get_field(data, 'adapter', str, ''),
            _get_field(data, 'version', str, ''),
        ),
        max_tokens,
        _get_field(data, 'stream', bool, False),
    )


def make_generation(
    req_id: str,
    envelope: Envelope,
    completion: Completion,
    settings: Settings,
    fingerprint: str,
) -> Request:
    """Return the core's request for a completion."""
    tokens = len(completion.prompt) / settings.chars_per_token
    return Request(
        req_id=req_id,
        team=envelope.team,
        kind=Kind.generate,
        deadline=envelope.deadline,
        model=completion.model,
        prompt_tokens=max(1, round(tokens)),
        max_tokens=completion.max_tokens,
        prefix=hash_prefix(completion.prompt, settings.chars_per_token),
        fingerprint=fingerprint,
        parts=envelope.parts,
    )


def make_call(
    req_id: str,
    envelope: Envelope,
    http: HttpRequest,
    cfg: Configuration | None,
    fingerprint: str,
) -> Request:
    """Return the core's request for a call of a plain service."""
    service = http.path_params['service']
    path = http.path_params['path']
    pool = cfg.get_pool_by_service(service) if cfg else None
    repeatable = http.method in SAFE_METHODS
    if pool and path in pool.idempotent_paths:
        repeatable = True
    return Request(
        req_id=req_id,
        team=envelope.team,
        kind=Kind.call,
        deadline=envelope.deadline,
        service=service,
        path=path,
        idempotent=repeatable,
        idempotency_key=envelope.idempotency_key,
        home=envelope.home,
        first_attempt=envelope.first_attempt,
        fingerprint=fingerprint,
        parts=envelope.parts,
    )


def make_fingerprint(http: HttpRequest, team: str, body: bytes) -> str:
    """Return the fingerprint of a request.

    Repeats of the request have the same fingerprint on every instance.
    """
    return get_fingerprint(
        RequestIdentity(
            http.method,
            http.url.hostname or '',
            http.url.path,
            http.url.query,
            team,
        ),
        hashlib.sha256(body).digest(),
    )


def hash_prefix(prompt: str, chars_per_token: float) -> tuple[str, ...]:
    """Return the cumulative hashes of a prompt's leading blocks.

    >>> len(hash_prefix('x' * 4096, 4.0))
    2
    """
    size = round(BLOCK_TOKENS * chars_per_token)
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for number in range(min(MAX_BLOCKS, len(prompt) // size)):
        start = number * size
        digest.update(prompt[start : start + size].encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)


def _read_deadline(http: HttpRequest, default_ms: int) -> int:
    text = http.headers.get(DEADLINE_HEADER, '')
    if not text:
        return default_ms
    if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise BadRequest(
            f'{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds',
        )
    return int(text)


def _get_field(
    data: dict[str, Any], name: str, kind: type, default: Any
) -> Any:
    field = data.get(name, default)
    if field is None:
        raise BadRequest(f'{name} is missing')
    is_mismatch = isinstance(field, bool) is not (kind is bool)
    if is_mismatch or not isinstance(field, kind):
        raise BadRequest(f'{name} must be of type {kind.__name__}')
    return field
