"""Tests of the claim table: no interleaving grants a key twice."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from trestledock.process import ClaimTable, Epoch, ClaimDecision
from trestledock.process._payloads import (
    ClaimAnswer,
    ClaimAsk,
    ClaimCopied,
    ClaimCopy,
    ClaimResult,
    SealAnswer,
)
from trestledock.version import EpochBody

NAMES = ('a', 'b', 'c', 'd')
KEYS = ('k1', 'k2')
KEEP_S = 50.0


class Members:
    """Claim tables with the messages in flight between them."""

    def __init__(self, members):
        self.tables = {name: ClaimTable(name, KEEP_S) for name in NAMES}
        self.now = 0.0
        self.in_flight = []
        self.granted = {}
        self.epochs = [Epoch(1, EpochBody(members))]
        for name in members:
            self.tables[name].enter_epoch(self.epochs[0], 0)

    def ask(self, key, claimant):
        epoch = self.epochs[-1]
        claim_id = f'{claimant}/{len(self.in_flight)}/{self.now}'
        first = epoch.get_replicas_by_key(key)[0]
        ask = ClaimAsk(key, claim_id, epoch.offset, KEEP_S / 2)
        self.in_flight.append((first, claimant, ask))

    def change(self, members):
        last = self.epochs[-1]
        body = EpochBody(members, 2, last.offset, last.members, 2)
        epoch = Epoch(last.offset + 1, body)
        self.epochs.append(epoch)
        for name in members:
            self.tables[name].enter_epoch(epoch, self.now)

    def hand_over(self, old, new):
        epoch = self.epochs[-1]
        table = self.tables[old]
        table.enter_epoch(epoch, self.now)
        if table.epoch is epoch and old != new:
            self.in_flight.append((new, old, table.seal(new, self.now)))

    def deliver(self, index, keep):
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        to, sender, payload = self.in_flight[index]
        if not keep:
            self.in_flight.pop(index)
        if isinstance(payload, ClaimAnswer):
            if payload.grant == ClaimDecision.granted.value:
                ids = self.granted.setdefault(payload.key, set())
                ids.add(payload.claim_id)
            return
        table = self.tables.get(to)
        if isinstance(payload, SealAnswer):
            table.import_claims(sender, payload, self.now)
            return
        takers = {
            ClaimAsk: lambda: table.handle_ask(sender, payload, self.now),
            ClaimCopy: lambda: table.handle_copy(sender, payload, self.now),
            ClaimCopied: lambda: table.handle_copied(sender, payload),
        }
        for member, answer in takers[type(payload)]():
            self.in_flight.append((member, to, answer))


GROUPS = st.lists(
    st.sampled_from(NAMES),
    min_size=1,
    max_size=4,
    unique=True,
).map(tuple)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('ask'),
            st.sampled_from(KEYS),
            st.sampled_from(('x', 'y')),
        ),
        st.tuples(st.just('deliver'), st.integers(0, 50), st.booleans()),
        st.tuples(st.just('change'), GROUPS),
        st.tuples(
            st.just('hand_over'),
            st.sampled_from(NAMES),
            st.sampled_from(NAMES),
        ),
    ),
    max_size=60,
)


class Interleavings(unittest.TestCase):
    @settings(max_examples=400)
    @given(GROUPS, STEPS)
    def test_a_key_is_granted_to_one_claim(self, group, steps):
        members = Members(group)
        for verb, *args in steps:
            getattr(members, verb)(*args)
            members.now += 0.01
        for key, ids in members.granted.items():
            self.assertLessEqual(len(ids), 1, (key, ids))


class Keeping(unittest.TestCase):
    def setUp(self):
        self.table = ClaimTable('a', KEEP_S)
        self.table.enter_epoch(Epoch(1, EpochBody(('a',))), 0)

    def ask(self, claim_id, now):
        ask = ClaimAsk('k', claim_id, 1, 10)
        return self.table.handle_ask('x', ask, now)[0][1]

    def test_repeat_waits_then_is_unknown(self):
        self.assertEqual(self.ask('1', 0).grant, 'granted')
        self.assertEqual(self.ask('2', 1).grant, 'pending')
        self.assertEqual(self.ask('2', 11).grant, 'unknown')

    def test_repeat_gets_the_first_answer(self):
        self.ask('1', 0)
        self.table.handle_result(
            ClaimResult('k', '1', 1, 'answered', 200, 'done')
        )
        answer = self.ask('2', 1)
        self.assertEqual((answer.grant, answer.body), ('done', 'done'))

    def test_not_run_frees_the_key(self):
        self.ask('1', 0)
        self.table.handle_result(ClaimResult('k', '1', 1, 'not_run'))
        self.assertEqual(self.ask('2', 1).grant, 'granted')

    def test_old_epoch_is_stale(self):
        self.table.enter_epoch(Epoch(2, EpochBody(('a',), 2, 1, ('a',))), 5)
        self.assertEqual(self.ask('1', 6).grant, 'stale')

    def test_lost_state_is_blind_until_kept_long_enough(self):
        body = EpochBody(('a',), 2, 1, ('b', 'c'))
        self.table.enter_epoch(Epoch(2, body), 0)
        self.table.expire({'b', 'c'}, 1)
        ask = ClaimAsk('k', '1', 2, 10)
        self.assertEqual(
            self.table.handle_ask('x', ask, 2)[0][1].grant, 'blind'
        )
        self.table.expire({'b', 'c'}, KEEP_S + 2)
        late = self.table.handle_ask('x', ask, KEEP_S + 3)
        self.assertEqual(late[0][1].grant, 'granted')
