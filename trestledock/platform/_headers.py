"""
Request and response headers
============================

Translates requests of callers, responses of targets, and requests to the
control interface of targets (`/order`).  Header names of the platform are
defined only here and in `_notices`.
"""

import math
from typing import Any, Mapping

from trestledock.entry import (
    AnswerMetadata,
    ColdTime,
    ControlRequest,
    ForwardingContext,
    Head,
    Headers,
)
from trestledock.platform._notices import (
    read_backoff,
    read_cold_time,
    read_draining,
    read_rate_limit,
)
from trestledock.relay import (
    Body,
    Call,
    Framing,
    ListedTarget,
    PromptSize,
    encode_json,
    get_part_names,
)

REQUEST_ID = b'trestledock-request-id'
#: Milliseconds that the caller waits, or that the target may take.
DEADLINE = b'trestledock-request-deadline'
#: Present if the target itself produced the response.
SEAL = b'trestledock-response-seal'
TEAM = b'trestledock-tenant'
EXPECTED_INSTANCE = b'trestledock-expect-instance'
#: Present if the target did not run the request.
NOT_RUN = b'trestledock-not-executed'
TOKEN_COUNTS = b'trestledock-token-counts'
#: The parts of the prompt in order, as comma-separated `ID:TOKENS` entries.
PROMPT_PARTS = b'trestledock-prompt-prefix'
HELPERS = b'trestledock-helpers'
LAST_EVENT = b'last-event-id'
#: The target that is at fault.
AT_FAULT = b'at-server'
#: The target that responds, if another one was asked.
INSTANCE = b'trestledock-instance-id'
AUTHORIZATION = b'authorization'
BEARER_PREFIX = 'bearer '
#: The priority of a request in a target's queue, from 0 (first) to 9.
PRIORITY = b'trestledock-request-priority'
LOWEST_PRIORITY = 9
#: Token counts with more digits are not read as counts.
MAX_COUNT_DIGITS = 12
MS = 1000

#: Headers that apply to a single connection.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
#: Headers that a response with chunks is forwarded without.
CHUNKED_HEADERS = HOP_BY_HOP_HEADERS | {b'content-length'}
#: Headers of a caller that are removed or replaced before forwarding.
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {
    AUTHORIZATION,
    DEADLINE,
    TEAM,
    EXPECTED_INSTANCE,
    HELPERS,
    LAST_EVENT,
    PRIORITY,
    b'trestledock-expect-version',
    b'content-length',
}


class PlatformDialect:
    """Formats of the platform's callers and targets."""

    def read_call(
        self,
        scope: Mapping[str, Any],
        body: Body,
        now: float,
    ) -> Call:
        """Read a caller's request from its ASGI scope."""
        headers = dict(scope['headers'])
        raw_path = scope['raw_path'].decode('latin-1')
        query = scope['query_string'].decode('latin-1')
        host = headers.get(b'host', b'').decode('latin-1').lower()
        wait_ms = _parse_number(headers.get(DEADLINE))
        return Call(
            req_id=headers.get(REQUEST_ID, b'').decode('latin-1'),
            method=scope['method'],
            path=raw_path,
            query=f'?{query}' if query else '',
            host=host.partition(':')[0],
            headers=_remove_headers(scope['headers'], REPLACED_HEADERS),
            body=body,
            arrived_at=now,
            deadline=None if wait_ms is None else now + wait_ms / MS,
            key=_parse_api_key(headers.get(AUTHORIZATION, b'')),
            size=_parse_token_counts(headers.get(TOKEN_COUNTS, b'')),
            resume_after=headers.get(LAST_EVENT, b'').decode('latin-1'),
            parts=_parse_parts(headers.get(PROMPT_PARTS, b'')),
        )

    def make_headers(self, call: Call, context: ForwardingContext) -> Headers:
        """Return the headers of a request to a target."""
        remaining_ms = max(1, int(context.left_s * MS))
        added = [
            (DEADLINE, str(remaining_ms).encode()),
            (EXPECTED_INSTANCE, context.placement.target.target_id.encode()),
        ]
        if context.team:
            added.append((TEAM, context.team.encode()))
        if context.priority is not None:
            rank = min(max(context.priority, 0), LOWEST_PRIORITY)
            added.append((PRIORITY, str(rank).encode()))
        if context.resume_after:
            added.append((LAST_EVENT, context.resume_after.encode()))
        if context.placement.helpers:
            added.append((HELPERS, _format_helpers(context).encode()))
        if call.body.raw or call.method not in {'GET', 'HEAD'}:
            added.append((b'content-length', str(len(call.body.raw)).encode()))
        return (*call.headers, *added)

    def read_head(self, head: Head) -> AnswerMetadata:
        """Read the head of a target's response."""
        return AnswerMetadata(
            req_id=_join_distinct(head.get_headers(REQUEST_ID)),
            sealed=bool(head.get_header(SEAL)),
            is_marked=bool(head.get_header(NOT_RUN)),
            encoded=bool(head.get_header(b'content-encoding')),
            keep_alive=head.get_header(b'keep-alive'),
            connection=head.get_header(b'connection'),
            at_fault=head.get_header(AT_FAULT),
            instance=head.get_header(INSTANCE),
            rate_limit=read_rate_limit(head),
            is_draining=read_draining(head),
            backoff=read_backoff(head),
        )

    def read_cold_time(self, head: Head) -> ColdTime:
        """Read for how long the target of a response stays cold."""
        return read_cold_time(head)

    def make_reply_headers(self, head: Head) -> Headers:
        """Return the headers of a response that is forwarded to the caller.

        A length beside chunks is not that of the body (RFC 9112, section 6.3).
        """
        if head.framing is Framing.chunks:
            return _remove_headers(head.headers, CHUNKED_HEADERS)
        return _remove_headers(head.headers, HOP_BY_HOP_HEADERS)

    def make_reserve(
        self,
        reservation_id: str,
        tokens: int,
        lease_s: float,
        target: ListedTarget,
    ) -> ControlRequest:
        """Return the request that reserves memory for `tokens` at `target`.

        It fails at once if the memory is not available.
        """
        return _make_control_request(
            target,
            operation='reserve',
            id=reservation_id,
            tokens=tokens,
            holdMs=round(lease_s * MS),
        )

    def make_probe(self, target: ListedTarget) -> ControlRequest:
        """Return a request for a target's report, which needs no slot."""
        host = target.address.rpartition(':')[0]
        return ControlRequest(
            'GET', '/report', ((b'host', host.encode()),), b''
        )

    def make_release(
        self, reservation_id: str, target: ListedTarget
    ) -> ControlRequest:
        """Return the request that releases a reservation."""
        return _make_control_request(
            target, operation='release', id=reservation_id
        )


def _make_control_request(
    target: ListedTarget, **fields: Any
) -> ControlRequest:
    """Return a control request that names its target.

    A different target that now has the address will reject it.
    """
    body = encode_json(fields)
    headers = (
        (b'host', target.address.encode()),
        (EXPECTED_INSTANCE, target.target_id.encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    )
    return ControlRequest('POST', '/order', headers, body)


def _format_helpers(context: ForwardingContext) -> str:
    """Format helpers as `IP:PORT` or `IP:PORT/RESERVATION`, comma-separated."""
    parts = []
    for helper in context.placement.helpers:
        reservation_id = context.reservation_ids.get(helper.incarnation)
        parts.append(
            f'{helper.address}/{reservation_id}'
            if reservation_id
            else helper.address
        )
    return ','.join(parts)


def _remove_headers(headers: Any, names: frozenset[bytes]) -> Headers:
    """Remove `names` and the headers that `Connection` names."""
    connection = b','.join(
        text for name, text in headers if name.lower() == b'connection'
    )
    per_connection = {part.strip().lower() for part in connection.split(b',')}
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in names and name.lower() not in per_connection
    )


def _join_distinct(texts: list[str]) -> str:
    """Join the values of a header that should have only one.

    >>> _join_distinct(['r1', 'r1']), _join_distinct(['r1', 'r2'])
    ('r1', 'r1, r2')
    """
    return ', '.join(dict.fromkeys(texts))


def _parse_number(raw: bytes | None) -> float | None:
    """Parse a finite number; anything else counts as none."""
    try:
        number = float(raw) if raw else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def _parse_api_key(raw: bytes) -> str:
    text = raw.decode('latin-1').strip()
    if text.lower().startswith(BEARER_PREFIX):
        return text[len(BEARER_PREFIX) :].strip()
    return ''


def _parse_token_counts(raw: bytes) -> PromptSize | None:
    """Parse the token counts `PROMPT,OUTPUT`."""
    prompt, _, output = map(bytes.strip, raw.partition(b','))
    if _is_count(prompt) and _is_count(output):
        return PromptSize(int(prompt), int(output))
    return None


def _parse_parts(raw: bytes) -> tuple[str, ...]:
    """Return the names of the parts of a prompt; their sizes don't matter."""
    entries = raw.decode('latin-1').split(',')
    return get_part_names(entry.partition(':')[0] for entry in entries)


def _is_count(raw: bytes) -> bool:
    return raw.isdigit() and len(raw) <= MAX_COUNT_DIGITS
