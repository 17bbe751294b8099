"""
Headers of callers and targets
==============================

Translates requests, answers and orders.  The platform's header names stand
here and nowhere else.
"""

import json
from typing import Any, Mapping

from trestledock.entry import (
    AnswerMetadata,
    Head,
    Headers,
    ControlRequest,
    ForwardingContext,
)
from trestledock.platform._notices import (
    read_leaving,
    read_limit,
    read_rest,
)
from trestledock.relay import Body, Call, ListedTarget, PromptSize

REQUEST_ID = b'trestledock-request-id'
#: Milliseconds that the caller will wait, or that a target may take.
DEADLINE = b'trestledock-request-deadline'
SEAL = b'trestledock-response-seal'
TEAM = b'trestledock-tenant'
EXPECT = b'trestledock-expect-instance'
NOT_RUN = b'trestledock-not-executed'
SIZES = b'trestledock-token-counts'
HELPERS = b'trestledock-helpers'
LAST_EVENT = b'last-event-id'
AT_FAULT = b'at-server'
#: The target that answers, where that is not the one that was asked.
INSTANCE = b'trestledock-instance-id'
AUTHORIZATION = b'authorization'
SCHEME = 'bearer '
#: The rank of a request where it waits at a target, from 0 (first) to 9.
PRIORITY = b'trestledock-request-priority'
LEAST_URGENT = 9
MISDIRECTED = 421
MS = 1000

#: Headers that concern one connection only.
HOP_BY_HOP = frozenset(
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
REPLACED_HEADERS = HOP_BY_HOP | {
    AUTHORIZATION,
    DEADLINE,
    TEAM,
    EXPECT,
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
        wait_ms = _read_number(found.get(DEADLINE))
        return Call(
            req_id=found.get(REQUEST_ID, b'').decode('latin-1'),
            method=scope['method'],
            path=raw_path,
            query=f'?{query}' if query else '',
            host=host.partition(':')[0],
            headers=_drop(scope['headers'], REPLACED_HEADERS),
            body=body,
            arrived_at=now,
            deadline=None if wait_ms is None else now + wait_ms / MS,
            key=_read_key(found.get(AUTHORIZATION, b'')),
            size=_read_sizes(found.get(SIZES, b'')),
            resume_after=found.get(LAST_EVENT, b'').decode('latin-1'),
        )

    def make_headers(self, call: Call, passing: ForwardingContext) -> Headers:
        """Return the headers of a request to a target."""
        left_ms = max(1, int(passing.left_s * MS))
        added = [
            (DEADLINE, str(left_ms).encode()),
            (EXPECT, passing.placement.target.target_id.encode()),
        ]
        if passing.team:
            added.append((TEAM, passing.team.encode()))
        if passing.priority is not None:
            rank = min(max(passing.priority, 0), LEAST_URGENT)
            added.append((PRIORITY, str(rank).encode()))
        if passing.resume_after:
            added.append((LAST_EVENT, passing.resume_after.encode()))
        if passing.placement.helpers:
            added.append((HELPERS, _write_helpers(passing).encode()))
        if call.body.raw or call.method not in {'GET', 'HEAD'}:
            added.append((b'content-length', str(len(call.body.raw)).encode()))
        return (*call.headers, *added)

    def read_head(self, head: Head) -> AnswerMetadata:
        """Read the head of a target's answer."""
        marked = bool(head.get_header(NOT_RUN))
        return AnswerMetadata(
            req_id=head.get_header(REQUEST_ID),
            sealed=bool(head.get_header(SEAL)),
            not_run=marked or head.status == MISDIRECTED,
            encoded=bool(head.get_header(b'content-encoding')),
            keep_alive=head.get_header(b'keep-alive'),
            connection=head.get_header(b'connection'),
            at_fault=head.get_header(AT_FAULT),
            instance=head.get_header(INSTANCE),
            limit=read_limit(head),
            leaves=read_leaving(head),
            rest=read_rest(head),
        )

    def make_reply_headers(self, head: Head) -> Headers:
        """Return the headers of an answer that is passed on."""
        return _drop(head.headers, HOP_BY_HOP)

    def make_reserve(
        self,
        ticket: str,
        tokens: int,
        lease_s: float,
        holder: ListedTarget,
    ) -> ControlRequest:
        """Return the order that reserves memory, or fails at once."""
        return _make_order(
            holder,
            operation='reserve',
            id=ticket,
            tokens=tokens,
            holdMs=round(lease_s * MS),
        )

    def make_release(self, ticket: str, holder: ListedTarget) -> ControlRequest:
        """Return the order that gives memory back."""
        return _make_order(holder, operation='release', id=ticket)


def _make_order(holder: ListedTarget, **fields: Any) -> ControlRequest:
    """Return an order that only one target takes, not who has its address."""
    body = json.dumps(fields).encode()
    headers = (
        (b'host', holder.address.encode()),
        (EXPECT, holder.target_id.encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    )
    return ControlRequest('POST', '/order', headers, body)


def _write_helpers(passing: ForwardingContext) -> str:
    """Return the helpers as `IP:PORT` or `IP:PORT/TICKET`."""
    parts = []
    for helper in passing.placement.helpers:
        ticket = passing.tickets.get(helper.incarnation)
        parts.append(f'{helper.address}/{ticket}' if ticket else helper.address)
    return ','.join(parts)


def _drop(headers: Any, names: frozenset[bytes]) -> Headers:
    listed = b','.join(
        text for name, text in headers if name.lower() == b'connection'
    )
    also = {part.strip().lower() for part in listed.split(b',')}
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in names and name.lower() not in also
    )


def _read_number(raw: bytes | None) -> float | None:
    try:
        return float(raw) if raw else None
    except ValueError:
        return None


def _read_key(raw: bytes) -> str:
    text = raw.decode('latin-1').strip()
    if text.lower().startswith(SCHEME):
        return text[len(SCHEME) :].strip()
    return ''


def _read_sizes(raw: bytes) -> PromptSize | None:
    """Read `PROMPT,OUTPUT` token counts."""
    first, _, second = raw.decode('latin-1').partition(',')
    if first.strip().isdigit() and second.strip().isdigit():
        return PromptSize(int(first), int(second))
    return None
