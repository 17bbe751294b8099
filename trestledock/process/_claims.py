"""
Claims
======

At-most-once execution across instances.  A non-idempotent call with an
idempotency key runs only under a claim on the key.  The first replica of the
key decides on claims, the other replicas keep copies, and a claim is granted
once all replicas have recorded it.  This needs the platform only when the
members change: a new epoch goes through the log, see `_epoch`.

A claimant starts the call at most once, within the claim's time to live.
Outcomes are kept for a while, so that a repeated call gets the first call's
response, waits for it, or ends as `unknown`.

This module implements one member.  It depends on neither requests nor sockets,
so that other programs can embed it.
"""

from dataclasses import dataclass, field
from enum import Enum

from trestledock.process._epoch import Epoch, Handover
from trestledock.process._payloads import (
    Blind,
    ClaimAnswer,
    ClaimAsk,
    ClaimCopied,
    ClaimCopy,
    ClaimEntry,
    ClaimResult,
    SealAnswer,
)
from trestledock.request import Outcome

#: The maximum length of a response that is kept for repeated calls, in
#: characters.
MAX_STORED_BODY_CHARS = 16_384

#: The maximum number of complete epochs that a member remembers.
MAX_COMPLETE_EPOCHS = 16


class ClaimDecision(str, Enum):
    """The responses to a request for a claim.

    `pending`: another call with the key may still run.  `done`: it has ended,
    and its outcome follows.  `unknown`: it may have run, but has not reported
    an outcome in time, or a replica knows another claim.  `blind`: the key's
    history is lost.  `stale`: this member can't decide on the key now.
    """

    granted = 'granted'
    pending = 'pending'
    done = 'done'
    unknown = 'unknown'
    blind = 'blind'
    stale = 'stale'


@dataclass
class Claim:
    """A claim as stored by a replica."""

    claim_id: str
    claimant: str
    created_at: float
    ttl_s: float
    outcome: str = ''
    status: int = 0
    body: str = ''
    acknowledged_by: set[str] = field(default_factory=set)
    acknowledged_epoch: int = -1

    def decide_repeat(self, now: float) -> ClaimDecision:
        """Return the response to another claim on the same key."""
        if self.outcome:
            return ClaimDecision.done
        expired = now > self.created_at + self.ttl_s
        return ClaimDecision.unknown if expired else ClaimDecision.pending


#: Payloads to send, each with the name of the receiving member.
OutgoingPayloads = list[tuple[str, ClaimAnswer | ClaimCopy | ClaimCopied]]


@dataclass
class ClaimTable:
    """The claims that one member stores.

    `member` is the member's own name, `keep_s` the time for which an outcome
    is kept.  `complete_epochs` holds the epochs for which this member has every
    claim on its keys; they are sent as `vouches`.
    """

    member: str
    keep_s: float = 600
    epoch: Epoch | None = None
    claims: dict[str, Claim] = field(default_factory=dict)
    handovers: dict[int, Handover] = field(default_factory=dict)
    complete_epochs: set[int] = field(default_factory=set)
    handed_over_to: set[str] = field(default_factory=set)

    def enter_epoch(self, epoch: Epoch, now: float) -> bool:
        """Enter a newer epoch, which ends all grants in older epochs.

        Returns whether the epoch was newer.
        """
        if self.epoch and epoch.offset <= self.epoch.offset:
            return False
        if epoch.body.previous:
            handover = Handover(
                epoch.body.previous_offset,
                epoch.body.previous,
                epoch.body.previous_replicas,
                sealed={self.member},
                started_at=now,
            )
            if epoch.body.previous_offset in self.complete_epochs:
                handover.handed_over_by.add(self.member)
            self.handovers[epoch.body.previous_offset] = handover
        self.epoch = epoch
        self.handed_over_to = set()
        if self.member in epoch.members:
            self.complete_epochs.add(epoch.offset)
            self.complete_epochs = set(
                sorted(self.complete_epochs)[-MAX_COMPLETE_EPOCHS:]
            )
        return True

    def has_unknown_history(self, key: str, now: float) -> bool:
        """Whether an earlier run under `key` can't be excluded."""
        return self.get_unknown_history_s(key, now) > 0

    def get_unknown_history_s(self, key: str, now: float) -> float:
        """Return the seconds for which `key` has an unknown history, or 0."""
        return max(
            (
                handover.get_remaining_s(now, self.keep_s)
                for handover in self.handovers.values()
                if handover.has_unknown_history(key)
            ),
            default=0,
        )

    def handle_ask(
        self, sender: str, message: ClaimAsk, now: float
    ) -> OutgoingPayloads:
        """Decide on a claim, as the first replica of its key."""
        grant = self._check_grantable(message, now)
        if grant:
            return [(sender, grant)]
        claim = self.claims.get(message.key)
        if claim is None:
            claim = Claim(message.claim_id, sender, now, message.ttl_s)
            self.claims[message.key] = claim
        return self._replicate(message, claim)

    def handle_copy(
        self, sender: str, message: ClaimCopy, now: float
    ) -> OutgoingPayloads:
        """Store the copy of a claim that the key's first replica sent."""
        known = self.claims.get(message.key)
        current = self.epoch and self.epoch.offset == message.epoch
        recorded = bool(current) and (
            known is None or known.claim_id == message.claim_id
        )
        if recorded and known is None:
            self.claims[message.key] = Claim(
                message.claim_id,
                message.claimant,
                now,
                message.ttl_s,
            )
        answer = ClaimCopied(
            message.key,
            message.claim_id,
            message.epoch,
            recorded,
        )
        return [(sender, answer)]

    def handle_copied(
        self, sender: str, message: ClaimCopied
    ) -> OutgoingPayloads:
        """Record an acknowledged copy; grant once every replica has one."""
        claim = self.claims.get(message.key)
        epoch = self.epoch
        if claim is None or epoch is None or message.epoch != epoch.offset:
            return []
        if claim.claim_id != message.claim_id:
            return []
        if not message.recorded:
            return [_answer_claimant(message, claim, ClaimDecision.unknown)]
        self._record_acknowledgement(claim, sender)
        if claim.acknowledged_by >= set(self._get_other_replicas(message.key)):
            return [_answer_claimant(message, claim, ClaimDecision.granted)]
        return []

    def handle_result(self, message: ClaimResult) -> None:
        """Store the outcome of a claim; `not_run` releases the key."""
        claim = self.claims.get(message.key)
        if claim is None or claim.claim_id != message.claim_id:
            return
        if message.outcome == Outcome.not_run.value:
            self.claims.pop(message.key)
            return
        claim.outcome = message.outcome
        claim.status = message.status
        claim.body = message.body[:MAX_STORED_BODY_CHARS]

    def seal(self, requester: str, now: float) -> SealAnswer:
        """Return the claims for `requester`, as a replica in this epoch."""
        epoch = self.epoch
        if epoch is None:
            raise LookupError('cannot seal: this member has no epoch')
        entries = tuple(
            _to_entry(key, claim, now)
            for key, claim in self.claims.items()
            if requester in epoch.get_replicas_by_key(key)
        )
        blinds = tuple(
            handover.to_payload(now, self.keep_s)
            for handover in self.handovers.values()
            if handover.offset != epoch.body.previous_offset
        )
        vouches = tuple(sorted(self.complete_epochs))
        self.handed_over_to.add(requester)
        return SealAnswer(epoch.offset, vouches, entries, blinds)

    def import_claims(
        self, sender: str, answer: SealAnswer, now: float
    ) -> None:
        """Import the claims of a member that has sealed the earlier epochs."""
        epoch = self.epoch
        if epoch is None or answer.epoch != epoch.offset:
            return
        for entry in answer.entries:
            self._merge_entry(entry, now)
        for blind in answer.blinds:
            self._add_unknown_history(blind, now)
        for handover in self.handovers.values():
            handover.sealed.add(sender)
            if handover.offset in answer.vouches:
                handover.handed_over_by.add(sender)

    def get_unsealed_members(self) -> tuple[str, ...]:
        """Return the members of earlier epochs that have not sealed them."""
        return tuple(
            sorted(
                {
                    name
                    for handover in self.handovers.values()
                    for name in handover.members
                    if name not in handover.sealed
                }
            ),
        )

    def expire(self, terminated: set[str], now: float) -> None:
        """Drop expired claims and finished handovers.

        `terminated` holds the members that have certainly terminated.
        """
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if now - claim.created_at <= self.keep_s + claim.ttl_s
        }
        for handover in self.handovers.values():
            handover.close_if_inactive(terminated, now)
        self.handovers = {
            offset: handover
            for offset, handover in self.handovers.items()
            if not handover.is_done(now, self.keep_s)
        }

    def _check_grantable(
        self, message: ClaimAsk, now: float
    ) -> ClaimAnswer | None:
        epoch = self.epoch
        key = message.key
        if epoch is None or epoch.offset != message.epoch:
            return _make_answer(message, ClaimDecision.stale)
        if epoch.get_replicas_by_key(key)[:1] != (self.member,):
            return _make_answer(message, ClaimDecision.stale)
        claim = self.claims.get(key)
        if claim and claim.claim_id != message.claim_id:
            return self._answer_repeat(message, claim, now)
        wait_s = self.get_unknown_history_s(key, now)
        if wait_s > 0:
            grant = (
                ClaimDecision.blind
                if self._is_history_lost(key)
                else ClaimDecision.stale
            )
            return _make_answer(message, grant, wait_s)
        return None

    def _is_history_lost(self, key: str) -> bool:
        """Whether no member can still provide the history of a key."""
        return all(
            handover.closed_at is not None
            for handover in self.handovers.values()
            if handover.has_unknown_history(key)
        )

    def _answer_repeat(
        self,
        message: ClaimAsk,
        claim: Claim,
        now: float,
    ) -> ClaimAnswer:
        return ClaimAnswer(
            message.key,
            message.claim_id,
            claim.decide_repeat(now).value,
            claim.outcome,
            claim.status,
            claim.body,
        )

    def _get_other_replicas(self, key: str) -> tuple[str, ...]:
        if self.epoch is None:
            return ()
        replicas = self.epoch.get_replicas_by_key(key)
        return tuple(name for name in replicas if name != self.member)

    def _replicate(self, message: ClaimAsk, claim: Claim) -> OutgoingPayloads:
        others = self._get_other_replicas(message.key)
        if self._is_replicated(claim, others):
            return [_answer_claimant(message, claim, ClaimDecision.granted)]
        return [
            (
                name,
                ClaimCopy(
                    message.key,
                    claim.claim_id,
                    claim.claimant,
                    message.epoch,
                    claim.ttl_s,
                ),
            )
            for name in others
        ]

    def _is_replicated(self, claim: Claim, others: tuple[str, ...]) -> bool:
        if not others:
            return True
        current = self.epoch and claim.acknowledged_epoch == self.epoch.offset
        return bool(current) and claim.acknowledged_by >= set(others)

    def _record_acknowledgement(self, claim: Claim, sender: str) -> None:
        offset = self.epoch.offset if self.epoch else -1
        if claim.acknowledged_epoch != offset:
            claim.acknowledged_epoch = offset
            claim.acknowledged_by = set()
        claim.acknowledged_by.add(sender)

    def _merge_entry(self, entry: ClaimEntry, now: float) -> None:
        known = self.claims.get(entry.key)
        if known and (known.outcome or not entry.outcome):
            return
        self.claims[entry.key] = Claim(
            entry.claim_id,
            entry.claimant,
            now - entry.age_s,
            entry.ttl_s,
            entry.outcome,
            entry.status,
            entry.body,
        )

    def _add_unknown_history(self, blind: Blind, now: float) -> None:
        if blind.offset in self.handovers or blind.left_s <= 0:
            return
        closed_at = now + blind.left_s - self.keep_s
        self.handovers[blind.offset] = Handover(
            blind.offset,
            blind.members,
            blind.replicas,
            handed_over_by=set(blind.heard),
            closed_at=closed_at if blind.closed else None,
            started_at=now,
        )


def _make_answer(
    message: ClaimAsk | ClaimCopied,
    grant: ClaimDecision,
    wait_s: float = 0,
) -> ClaimAnswer:
    return ClaimAnswer(
        message.key,
        message.claim_id,
        grant.value,
        wait_s=wait_s,
    )


def _answer_claimant(
    message: ClaimAsk | ClaimCopied,
    claim: Claim,
    grant: ClaimDecision,
) -> tuple[str, ClaimAnswer]:
    return claim.claimant, _make_answer(message, grant)


def _to_entry(key: str, claim: Claim, now: float) -> ClaimEntry:
    return ClaimEntry(
        key,
        claim.claim_id,
        claim.claimant,
        now - claim.created_at,
        claim.ttl_s,
        claim.outcome,
        claim.status,
        claim.body,
    )
