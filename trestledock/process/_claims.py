"""
Claims
======

At most once across instances.  A non-idempotent call with an idempotency key
runs only under a claim on the key.  The first replica of the key decides, the
others keep a copy, and a claim is granted once all of them have recorded it.
In the steady state no platform is needed; only a change of members goes
through the log, see `trestledock.process` on epochs.

A claim is one-shot: its claimant starts the call at most once and not after
the claim's time to live.  Outcomes are kept for a while, so that a repeat of
a key gets the answer of the first run, waits for it, or is told `unknown`.

The module holds the part of a member; nothing in it knows requests or sockets,
so that others can embed it.
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

#: The longest answer, in characters, that is kept for repeats.
MAX_KEPT_BODY = 16_384

#: How many epochs a member vouches for.
MAX_VOUCHES = 16


class ClaimDecision(str, Enum):
    """The answers to a request for a claim."""

    granted = 'granted'
    pending = 'pending'
    done = 'done'
    unknown = 'unknown'
    blind = 'blind'
    stale = 'stale'


@dataclass
class Claim:
    """What a replica remembers of a claim."""

    claim_id: str
    claimant: str
    made_at: float
    ttl_s: float
    outcome: str = ''
    status: int = 0
    body: str = ''
    copied: set[str] = field(default_factory=set)
    copied_epoch: int = -1

    def get_grant(self, now: float) -> ClaimDecision:
        """Return the answer to another claim on the same key."""
        if self.outcome:
            return ClaimDecision.done
        expired = now > self.made_at + self.ttl_s
        return ClaimDecision.unknown if expired else ClaimDecision.pending


#: Payloads to send, each with the member it goes to.
Sends = list[tuple[str, ClaimAnswer | ClaimCopy | ClaimCopied]]


@dataclass
class ClaimTable:
    """The claims that one member keeps.

    `member` is the member's own name, `keep_s` how long an outcome is kept.
    """

    member: str
    keep_s: float = 600
    epoch: Epoch | None = None
    claims: dict[str, Claim] = field(default_factory=dict)
    handovers: dict[int, Handover] = field(default_factory=dict)
    vouches: set[int] = field(default_factory=set)
    handed_to: set[str] = field(default_factory=set)

    def enter_epoch(self, epoch: Epoch, now: float) -> bool:
        """Enter a newer epoch; nothing is granted in older ones from here on.

        Returns whether the epoch was news.
        """
        if self.epoch and epoch.offset <= self.epoch.offset:
            return False
        if epoch.body.previous:
            handover = Handover(
                epoch.body.previous_offset,
                epoch.body.previous,
                epoch.body.previous_replicas,
                sealed={self.member},
                begun_at=now,
            )
            if epoch.body.previous_offset in self.vouches:
                handover.heard.add(self.member)
            self.handovers[epoch.body.previous_offset] = handover
        self.epoch = epoch
        self.handed_to = set()
        if self.member in epoch.members:
            self.vouches.add(epoch.offset)
            self.vouches = set(sorted(self.vouches)[-MAX_VOUCHES:])
        return True

    def is_blind(self, key: str, now: float) -> bool:
        """Whether an earlier run under `key` can't be ruled out."""
        return self.get_blind_left(key, now) > 0

    def get_blind_left(self, key: str, now: float) -> float:
        """Return for how many seconds `key` stays blind, 0 where it is not."""
        return max(
            (
                handover.get_left(now, self.keep_s)
                for handover in self.handovers.values()
                if handover.is_blind(key)
            ),
            default=0,
        )

    def handle_ask(self, sender: str, message: ClaimAsk, now: float) -> Sends:
        """Decide on a claim, as the first replica of its key."""
        grant = self._check(message, now)
        if grant:
            return [(sender, grant)]
        claim = self.claims.get(message.key)
        if claim is None:
            claim = Claim(message.claim_id, sender, now, message.ttl_s)
            self.claims[message.key] = claim
        return self._spread(message, claim)

    def handle_copy(self, sender: str, message: ClaimCopy, now: float) -> Sends:
        """Record a copy of a claim for the first replica of its key."""
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

    def handle_copied(self, sender: str, message: ClaimCopied) -> Sends:
        """Count an acknowledged copy; grant once every replica has one."""
        claim = self.claims.get(message.key)
        epoch = self.epoch
        if claim is None or epoch is None or message.epoch != epoch.offset:
            return []
        if claim.claim_id != message.claim_id:
            return []
        if not message.recorded:
            return [_answer_claimant(message, claim, ClaimDecision.unknown)]
        self._count_copy(claim, sender)
        if claim.copied >= set(self._get_others(message.key)):
            return [_answer_claimant(message, claim, ClaimDecision.granted)]
        return []

    def handle_result(self, message: ClaimResult) -> None:
        """Keep the outcome of a claim; `not_run` frees the key again."""
        claim = self.claims.get(message.key)
        if claim is None or claim.claim_id != message.claim_id:
            return
        if message.outcome == Outcome.not_run.value:
            self.claims.pop(message.key)
            return
        claim.outcome = message.outcome
        claim.status = message.status
        claim.body = message.body[:MAX_KEPT_BODY]

    def seal(self, asker: str, now: float) -> SealAnswer:
        """Hand over what `asker` needs, as a replica in this epoch."""
        epoch = self.epoch
        if epoch is None:
            raise LookupError('a member seals only once it is in an epoch')
        entries = tuple(
            _to_entry(key, claim, now)
            for key, claim in self.claims.items()
            if asker in epoch.get_replicas_by_key(key)
        )
        blinds = tuple(
            handover.to_blind(now, self.keep_s)
            for handover in self.handovers.values()
            if handover.offset != epoch.body.previous_offset
        )
        vouches = tuple(sorted(self.vouches))
        self.handed_to.add(asker)
        return SealAnswer(epoch.offset, vouches, entries, blinds)

    def take_over(self, sender: str, answer: SealAnswer, now: float) -> None:
        """Take the claims of a member that has sealed the earlier epochs."""
        epoch = self.epoch
        if epoch is None or answer.epoch != epoch.offset:
            return
        for entry in answer.entries:
            self._merge(entry, now)
        for blind in answer.blinds:
            self._add_blind(blind, now)
        for handover in self.handovers.values():
            handover.sealed.add(sender)
            if handover.offset in answer.vouches:
                handover.heard.add(sender)

    def get_unheard(self) -> tuple[str, ...]:
        """Return the members of earlier epochs that are still to be asked."""
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

    def forget(self, gone: set[str], now: float) -> None:
        """Drop claims and handovers whose time is over.

        `gone` holds the members of which it is certain that they have ended.
        """
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if now - claim.made_at <= self.keep_s + claim.ttl_s
        }
        for handover in self.handovers.values():
            handover.close(gone, now)
        self.handovers = {
            offset: handover
            for offset, handover in self.handovers.items()
            if not handover.is_done(now, self.keep_s)
        }

    def _check(self, message: ClaimAsk, now: float) -> ClaimAnswer | None:
        epoch = self.epoch
        key = message.key
        if epoch is None or epoch.offset != message.epoch:
            return _make_answer(message, ClaimDecision.stale)
        if epoch.get_replicas_by_key(key)[:1] != (self.member,):
            return _make_answer(message, ClaimDecision.stale)
        claim = self.claims.get(key)
        if claim and claim.claim_id != message.claim_id:
            return self._repeat(message, claim, now)
        left = self.get_blind_left(key, now)
        if left > 0:
            grant = (
                ClaimDecision.blind
                if self._is_lost(key)
                else ClaimDecision.stale
            )
            return _make_answer(message, grant, left)
        return None

    def _is_lost(self, key: str) -> bool:
        """Whether nobody is left who could still tell of a blind key."""
        return all(
            handover.closed_at is not None
            for handover in self.handovers.values()
            if handover.is_blind(key)
        )

    def _repeat(
        self,
        message: ClaimAsk,
        claim: Claim,
        now: float,
    ) -> ClaimAnswer:
        return ClaimAnswer(
            message.key,
            message.claim_id,
            claim.get_grant(now).value,
            claim.outcome,
            claim.status,
            claim.body,
        )

    def _get_others(self, key: str) -> tuple[str, ...]:
        if self.epoch is None:
            return ()
        replicas = self.epoch.get_replicas_by_key(key)
        return tuple(name for name in replicas if name != self.member)

    def _spread(self, message: ClaimAsk, claim: Claim) -> Sends:
        others = self._get_others(message.key)
        if self._is_copied(claim, others):
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

    def _is_copied(self, claim: Claim, others: tuple[str, ...]) -> bool:
        if not others:
            return True
        current = self.epoch and claim.copied_epoch == self.epoch.offset
        return bool(current) and claim.copied >= set(others)

    def _count_copy(self, claim: Claim, sender: str) -> None:
        offset = self.epoch.offset if self.epoch else -1
        if claim.copied_epoch != offset:
            claim.copied_epoch = offset
            claim.copied = set()
        claim.copied.add(sender)

    def _merge(self, entry: ClaimEntry, now: float) -> None:
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

    def _add_blind(self, blind: Blind, now: float) -> None:
        if blind.offset in self.handovers or blind.left_s <= 0:
            return
        closed_at = now + blind.left_s - self.keep_s
        self.handovers[blind.offset] = Handover(
            blind.offset,
            blind.members,
            blind.replicas,
            heard=set(blind.heard),
            closed_at=closed_at if blind.closed else None,
            begun_at=now,
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
        now - claim.made_at,
        claim.ttl_s,
        claim.outcome,
        claim.status,
        claim.body,
    )
