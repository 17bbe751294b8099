"""
Headers of callers and targets
==============================

Translates requests, answers and orders.  The platform's header names stand
here and nowhere else.
"""

import json
from typing import Any, Mapping

from trestledock.entry import AnswerNote, Head, Headers, Order, Passing
from trestledock.platform._notices import (
    read_draining,
    read_rate_limit,
    read_backoff,
)
from trestledock.relay import Body, Call, Listed, PromptSize

REQUEST_ID = b'trestledock-request-id'
#: Milliseconds that the caller will wait, or that a target may take.
DEADLINE = b'trestledock-request-deadline'
SEAL = b'trestledock-response-seal'
TEAM = b'trestledock-tenant'
EXPECTED_INSTANCE = b'trestledock-expect-instance'
NOT_RUN = b'trestledock-not-executed'
TOKEN_COUNTS = b'trestledock-token-counts'
HELPERS = b'trestledock-helpers'
LAST_EVENT = b'last-event-id'
AT_FAULT = b'at-server'
#: The target that answers, where that is not the one that was asked.
INSTANCE = b'trestledock-instance-id'
AUTHORIZATION = b'authorization'
BEARER_PREFIX = 'bearer '
#: The rank of a request where it waits at a target, from 0 (first) to 9.
PRIORITY = b'trestledock-request-priority'
LOWEST_PRIORITY = 9
MISDIRECTED = 421
MS = 1000

#: Headers that concern one connection only.
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
#: Headers of a caller that are replaced on the way to a target.
REPLACED = HOP_BY_HOP_HEADERS | {
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
    """The formats of the platform's callers and targets."""

    def read_call(
        self,
        scope: Mapping[str, Any],
        body: Body,
        now: float,
    ) -> Call:
        """Read a caller's request from its ASGI scope."""
        found = dict(scope['headers'])
        raw_path = scope['raw_path'].decode('latin-1')
        query = scope['query_string'].decode('latin-1')
        host = found.get(b'host', b'').decode('latin-1').lower()
        wait_ms = _parse_number(found.get(DEADLINE))
        return Call(
            req_id=found.get(REQUEST_ID, b'').decode('latin-1'),
            method=scope['method'],
            path=raw_path,
            query=f'?{query}' if query else '',
            host=host.partition(':')[0],
            headers=_remove_headers(scope['headers'], REPLACED),
            body=body,
            arrived_at=now,
            deadline=None if wait_ms is None else now + wait_ms / MS,
            key=_parse_api_key(found.get(AUTHORIZATION, b'')),
            size=_parse_token_counts(found.get(TOKEN_COUNTS, b'')),
            resume_after=found.get(LAST_EVENT, b'').decode('latin-1'),
        )

    def make_headers(self, call: Call, passing: Passing) -> Headers:
        """Return the headers of a request to a target."""
        left_ms = max(1, int(passing.left_s * MS))
        added = [
            (DEADLINE, str(left_ms).encode()),
            (EXPECTED_INSTANCE, passing.placement.target.target_id.encode()),
        ]
        if passing.team:
            added.append((TEAM, passing.team.encode()))
        if passing.priority is not None:
            rank = min(max(passing.priority, 0), LOWEST_PRIORITY)
            added.append((PRIORITY, str(rank).encode()))
        if passing.resume_after:
            added.append((LAST_EVENT, passing.resume_after.encode()))
        if passing.placement.helpers:
            added.append((HELPERS, _format_helpers(passing).encode()))
        if call.body.raw or call.method not in {'GET', 'HEAD'}:
            added.append((b'content-length', str(len(call.body.raw)).encode()))
        return (*call.headers, *added)

    def read_head(self, head: Head) -> AnswerNote:
        """Read the head of a target's answer."""
        marked = bool(head.get_header(NOT_RUN))
        return AnswerNote(
            req_id=head.get_header(REQUEST_ID),
            sealed=bool(head.get_header(SEAL)),
            not_run=marked or head.status == MISDIRECTED,
            encoded=bool(head.get_header(b'content-encoding')),
            keep_alive=head.get_header(b'keep-alive'),
            connection=head.get_header(b'connection'),
            at_fault=head.get_header(AT_FAULT),
            instance=head.get_header(INSTANCE),
            limit=read_rate_limit(head),
            leaves=read_draining(head),
            rest=read_backoff(head),
        )

    def make_reply_headers(self, head: Head) -> Headers:
        """Return the headers of an answer that is passed on."""
        return _remove_headers(head.headers, HOP_BY_HOP_HEADERS)

    def make_reserve(
        self,
        ticket: str,
        tokens: int,
        hold_s: float,
        holder: Listed,
    ) -> Order:
        """Return the order that reserves memory, or fails at once."""
        return _make_order(
            holder,
            operation='reserve',
            id=ticket,
            tokens=tokens,
            holdMs=round(hold_s * MS),
        )

    def make_release(self, ticket: str, holder: Listed) -> Order:
        """Return the order that gives memory back."""
        return _make_order(holder, operation='release', id=ticket)


def _make_order(holder: Listed, **fields: Any) -> Order:
    """Return an order that only one target takes, not who has its address."""
    body = json.dumps(fields).encode()
    headers = (
        (b'host', holder.address.encode()),
        (EXPECTED_INSTANCE, holder.target_id.encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    )
    return Order('POST', '/order', headers, body)


def _format_helpers(passing: Passing) -> str:
    """Return the helpers as `IP:PORT` or `IP:PORT/TICKET`."""
    parts = []
    for helper in passing.placement.helpers:
        ticket = passing.tickets.get(helper.incarnation)
        parts.append(f'{helper.address}/{ticket}' if ticket else helper.address)
    return ','.join(parts)


def _remove_headers(headers: Any, names: frozenset[bytes]) -> Headers:
    listed = b','.join(
        text for name, text in headers if name.lower() == b'connection'
    )
    also = {part.strip().lower() for part in listed.split(b',')}
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in names and name.lower() not in also
    )


def _parse_number(raw: bytes | None) -> float | None:
    try:
        return float(raw) if raw else None
    except ValueError:
        return None


def _parse_api_key(raw: bytes) -> str:
    text = raw.decode('latin-1').strip()
    if text.lower().startswith(BEARER_PREFIX):
        return text[len(BEARER_PREFIX) :].strip()
    return ''


def _parse_token_counts(raw: bytes) -> PromptSize | None:
    """Read `PROMPT,OUTPUT` token counts."""
    first, _, second = raw.decode('latin-1').partition(',')
    if first.strip().isdigit() and second.strip().isdigit():
        return PromptSize(int(first), int(second))
    return None
