"""
Guarding holds
==============

Connects hold ids with the peers that guard them: which block may be used on a
target, which peers still have to be told, and what is cancelled for owners
that are gone.
"""

from operator import itemgetter

from trestledock.process._actions import CancelReservations
from trestledock.process._ending import send
from trestledock.process._fleet import Peer, Target
from trestledock.process._holds import (
    BLOCK_SIZE,
    GUARDS,
    Block,
    Watched,
)
from trestledock.process._payloads import HoldBlock, HoldBlockKept
from trestledock.relay import rank_by_key
from trestledock.process._state import State


def take_hold(state: State, target: Target, now: float) -> str:
    """Return a hold id that is guarded, empty while none is.

    An instance without any live peer uses its ids unguarded.
    """
    block = state.hold_ids.get_block(target.info.name)
    if not block.kept_by and get_guards(state):
        ask_guards(state, block, target, now)
        return ''
    return state.hold_ids.take_id(block)


def prepare_block(state: State, target: Target, now: float) -> None:
    """Have a guarded block ready before the first request needs it."""
    block = state.hold_ids.get_block(target.info.name)
    if not block.guards:
        ask_guards(state, block, target, now)


def get_guards(state: State) -> list[Peer]:
    """Return the peers that may guard, in the order to ask them.

    The first is of the own data centre, the next of others, one each, so that
    no single failure takes an owner together with all its guards; rendezvous
    hashing spreads the owners over the peers.
    """
    home = state.identity.data_centre
    ranks: dict[str, int] = {}
    ordered: list[tuple[int, bool, int, Peer]] = []
    for name in rank_by_key(state.member, state.fleet.peers):
        peer = state.fleet.peers[name]
        if name == state.member or peer.gone or peer.leaving:
            continue
        place = peer.info.data_centre
        ranks[place] = ranks.get(place, -1) + 1
        ordered.append((ranks[place], place != home, len(ordered), peer))
    return [one[-1] for one in sorted(ordered, key=itemgetter(0, 1, 2))]


def ask_guards(state: State, block: Block, target: Target, now: float) -> None:
    """Tell a block to peers until enough of them keep watch over it."""
    if now - block.asked_at < state.timing.cancel_retry_s:
        return
    block.asked_at = now
    live = {peer.info.member for peer in get_guards(state)}
    block.kept_by &= live
    _dismiss(state, block, block.guards - live)
    for peer in get_guards(state):
        if len(block.guards) >= GUARDS:
            break
        block.guards.add(peer.info.member)
    block.told |= block.guards
    for member in sorted(block.guards - block.kept_by):
        payload = HoldBlock(
            target.info.name,
            target.info.address,
            block.first,
        )
        send(state, member, payload)


def take_block(state: State, sender: str, message: HoldBlock) -> None:
    """Guard a peer's block, or stop guarding it."""
    watched = Watched(sender, message.target, message.first)
    if message.done:
        state.guard.unwatch(watched)
        return
    state.guard.watch(watched, message.address)
    send(state, sender, HoldBlockKept(message.target, message.first))


def note_kept(state: State, sender: str, message: HoldBlockKept) -> None:
    """Note that a peer guards a block of this instance."""
    block = state.hold_ids.blocks.get((message.target, message.first))
    if block:
        block.kept_by.add(sender)


def mark_gone(state: State, peer: Peer) -> None:
    """Mark a peer as gone and cancel everything that it may hold."""
    owner = peer.info.member
    peer.gone = True
    peer.knows_quarantine = False
    state.note('peer_gone', owner)
    for watched in state.guard.take_up(owner):
        state.count('taken_up_holds')
        state.note('holds_taken_up', owner, watched.target)


def keep_blocks(state: State, now: float) -> None:
    """Retire spent blocks and replace guards that are gone."""
    for done in state.hold_ids.pop_done():
        _dismiss(state, done, done.told)
    targets = state.get_targets()
    for block in tuple(state.hold_ids.blocks.values()):
        target = targets.get(block.target)
        if target is None:
            _drop_block(state, block)
        else:
            ask_guards(state, block, target, now)
            _prepare_next(state, block, target, now)


def repeat_cancels(state: State) -> None:
    """Repeat the cancels that their engines have not confirmed."""
    keys = {target.info.name: target for target in state.get_targets().values()}
    for key in tuple(state.guard.to_cancel):
        target = keys.get(key)
        if target is None:
            state.guard.to_cancel.pop(key)
            continue
        holds = tuple(sorted(state.guard.to_cancel[key]))
        address = target.info.address
        state.act(CancelReservations(key, address, holds[:BLOCK_SIZE]))


def _dismiss(state: State, block: Block, members: set[str]) -> None:
    for member in sorted(members):
        payload = HoldBlock(block.target, '', block.first, done=True)
        send(state, member, payload)
    block.guards -= members


def _drop_block(state: State, block: Block) -> None:
    state.hold_ids.blocks.pop((block.target, block.first))
    state.hold_ids.current.pop(block.target, None)


def _prepare_next(
    state: State,
    block: Block,
    target: Target,
    now: float,
) -> None:
    if block.is_spent and state.hold_ids.current.get(block.target) is block:
        prepare_block(state, target, now)
