"""
Watching of reservations
========================

Connects blocks of reservation ids with the peers that watch them: it decides
which block may be used on a target, informs the watchers, and cancels the
reservations of unreachable owners.
"""

from operator import itemgetter

from trestledock.process._actions import CancelReservations
from trestledock.process._completion import send_to_member
from trestledock.process._fleet import Peer, Target
from trestledock.process._payloads import HoldBlock, HoldBlockKept
from trestledock.process._reservations import (
    BLOCK_SIZE,
    WATCHERS_PER_BLOCK,
    IdBlock,
    WatchedBlock,
)
from trestledock.process._state import State
from trestledock.relay import rank_by_key


def allocate_reservation(state: State, target: Target, now: float) -> str:
    """Return a reservation id that is watched, or an empty string.

    An instance without any reachable peer uses unwatched ids.
    """
    block = state.reservation_ids.get_block(target.info.name)
    if not block.confirmed_by and rank_watchers(state):
        request_watchers(state, block, target, now)
        return ''
    return state.reservation_ids.allocate_id(block)


def prepare_block(state: State, target: Target, now: float) -> None:
    """Have a block watched before the first request needs it."""
    block = state.reservation_ids.get_block(target.info.name)
    if not block.watchers:
        request_watchers(state, block, target, now)


def rank_watchers(state: State) -> list[Peer]:
    """Return the peers that may watch blocks, in order of preference.

    The first is in the own data centre, the next are in different other data
    centres, so that no single failure takes out an owner with all its watchers.
    Rendezvous hashing spreads the owners over the peers.
    """
    home = state.identity.data_centre
    ranks: dict[str, int] = {}
    ordered: list[tuple[int, bool, int, Peer]] = []
    for name in rank_by_key(state.member, state.fleet.peers):
        peer = state.fleet.peers[name]
        if name == state.member or peer.is_unreachable or peer.draining:
            continue
        data_centre = peer.info.data_centre
        ranks[data_centre] = ranks.get(data_centre, -1) + 1
        ordered.append(
            (ranks[data_centre], data_centre != home, len(ordered), peer)
        )
    return [entry[-1] for entry in sorted(ordered, key=itemgetter(0, 1, 2))]


def request_watchers(
    state: State, block: IdBlock, target: Target, now: float
) -> None:
    """Ask peers to watch a block until enough of them have confirmed."""
    if now - block.asked_at < state.timing.cancel_retry_s:
        return
    block.asked_at = now
    available = {peer.info.member for peer in rank_watchers(state)}
    block.confirmed_by &= available
    _release_watchers(state, block, block.watchers - available)
    for peer in rank_watchers(state):
        if len(block.watchers) >= WATCHERS_PER_BLOCK:
            break
        block.watchers.add(peer.info.member)
    block.notified |= block.watchers
    for member in sorted(block.watchers - block.confirmed_by):
        payload = HoldBlock(
            target.info.name,
            target.info.address,
            block.first,
        )
        send_to_member(state, member, payload)


def on_hold_block(state: State, sender: str, message: HoldBlock) -> None:
    """Watch a peer's block, or stop watching it."""
    watched = WatchedBlock(sender, message.target, message.first)
    if message.done:
        state.reservation_watch.remove_block(watched)
        return
    state.reservation_watch.add_block(watched, message.address)
    send_to_member(state, sender, HoldBlockKept(message.target, message.first))


def on_hold_block_kept(
    state: State, sender: str, message: HoldBlockKept
) -> None:
    """Record that a peer watches a block of this instance."""
    block = state.reservation_ids.blocks.get((message.target, message.first))
    if block:
        block.confirmed_by.add(sender)


def mark_unreachable(state: State, peer: Peer) -> None:
    """Mark a peer as unreachable and cancel its reservations."""
    owner = peer.info.member
    peer.is_unreachable = True
    peer.knows_quarantine = False
    state.log_event('peer_gone', owner)
    for watched in state.reservation_watch.queue_owner_cancels(owner):
        state.count('taken_up_holds')
        state.log_event('holds_taken_up', owner, watched.target)


def maintain_blocks(state: State, now: float) -> None:
    """Retire finished blocks and replace unreachable watchers."""
    for finished in state.reservation_ids.pop_done():
        _release_watchers(state, finished, finished.notified)
    targets = state.get_targets()
    for block in tuple(state.reservation_ids.blocks.values()):
        target = targets.get(block.target)
        if target is None:
            _drop_block(state, block)
        else:
            request_watchers(state, block, target, now)
            _prepare_next(state, block, target, now)


def repeat_cancels(state: State) -> None:
    """Repeat the cancels that their engines have not confirmed."""
    targets = {
        target.info.name: target for target in state.get_targets().values()
    }
    for name in tuple(state.reservation_watch.to_cancel):
        target = targets.get(name)
        if target is None:
            state.reservation_watch.to_cancel.pop(name)
            continue
        holds = tuple(sorted(state.reservation_watch.to_cancel[name]))
        address = target.info.address
        state.emit(CancelReservations(name, address, holds[:BLOCK_SIZE]))


def _release_watchers(state: State, block: IdBlock, members: set[str]) -> None:
    for member in sorted(members):
        payload = HoldBlock(block.target, '', block.first, done=True)
        send_to_member(state, member, payload)
    block.watchers -= members


def _drop_block(state: State, block: IdBlock) -> None:
    state.reservation_ids.blocks.pop((block.target, block.first))
    state.reservation_ids.current.pop(block.target, None)


def _prepare_next(
    state: State,
    block: IdBlock,
    target: Target,
    now: float,
) -> None:
    if (
        block.is_exhausted
        and state.reservation_ids.current.get(block.target) is block
    ):
        prepare_block(state, target, now)
