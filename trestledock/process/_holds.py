"""
Hold ids and their guards
=========================

An engine keeps memory for a hold until it is cancelled or its stream ends, so
a hold whose owner dies must be cancelled by somebody else.  Ids are therefore
known before they are used: an owner takes them from blocks, one sequence a
target, and tells each block to a few peers first.  A peer that finds the owner
gone cancels every id of its blocks; cancelling an unused id does no harm.

One message to each guard covers `BLOCK_SIZE` requests.
"""

from dataclasses import dataclass, field

#: Ids in a block.
BLOCK_SIZE = 64
#: Rejected ids after which a block is not used any more.
MAX_REJECTIONS = 2
#: Peers that guard a block.
WATCHERS_PER_BLOCK = 3


def make_reservation_id(member: str, target: str, number: int) -> str:
    """Return the id of hold `number` of `member` on a target."""
    return f'{member}/{target}/{number}'


def get_block_ids(member: str, target: str, first: int) -> tuple[str, ...]:
    """Return every id of a block."""
    return tuple(
        make_reservation_id(member, target, number)
        for number in range(first, first + BLOCK_SIZE)
    )


@dataclass
class IdBlock:
    """An owner's block: which ids are open and who guards it."""

    target: str
    first: int
    next_number: int
    watchers: set[str] = field(default_factory=set)
    told: set[str] = field(default_factory=set)
    confirmed_by: set[str] = field(default_factory=set)
    open_ids: set[str] = field(default_factory=set)
    asked_at: float = float('-inf')
    rejections: int = 0
    closed: bool = False

    @property
    def is_exhausted(self) -> bool:
        """Whether no id is left to use."""
        return self.closed or self.next_number >= self.first + BLOCK_SIZE

    @property
    def is_done(self) -> bool:
        """Whether the block needs no guard any more."""
        return self.is_exhausted and not self.open_ids


@dataclass
class ReservationIds:
    """The owner's side: blocks by the name of the target."""

    member: str
    blocks: dict[tuple[str, int], IdBlock] = field(default_factory=dict)
    current: dict[str, IdBlock] = field(default_factory=dict)
    next_block_start: dict[str, int] = field(default_factory=dict)

    def get_block(self, target: str) -> IdBlock:
        """Return the target's current block, a new one where it is spent."""
        block = self.current.get(target)
        if block is None or block.is_exhausted:
            first = self.next_block_start.get(target, 0)
            self.next_block_start[target] = first + BLOCK_SIZE
            block = IdBlock(target, first, first)
            self.current[target] = block
            self.blocks[target, first] = block
        return block

    def allocate_id(self, block: IdBlock) -> str:
        """Take the next id of a block; it is open until released."""
        hold = make_reservation_id(self.member, block.target, block.next_number)
        block.next_number += 1
        block.open_ids.add(hold)
        return hold

    def release(self, hold: str) -> None:
        """Note that an id holds nothing on its engine any more."""
        for block in self.blocks.values():
            block.open_ids.discard(hold)

    def get_notified_peers(self) -> set[str]:
        """Return the peers that were ever told of a block in use.

        They must hear this instance live, or they would cancel the block.
        """
        return set().union(*(block.told for block in self.blocks.values()))

    def record_rejection(self, hold: str) -> None:
        """Close a block whose ids an engine keeps refusing.

        A peer that took this instance for gone may have cancelled the block.
        """
        for block in self.blocks.values():
            if hold in block.open_ids:
                block.rejections += 1
                block.closed = block.rejections >= MAX_REJECTIONS

    def pop_done(self) -> list[IdBlock]:
        """Remove and return the blocks that need no guard any more."""
        done = [block for block in self.blocks.values() if block.is_done]
        for block in done:
            self.blocks.pop((block.target, block.first))
        return done

    def close_blocks(self) -> None:
        """Use no id of any present block again, as after a pause."""
        for block in self.blocks.values():
            block.closed = True


@dataclass(frozen=True)
class WatchedBlock:
    """A block that this instance guards for its owner."""

    owner: str
    target: str
    first: int


@dataclass
class ReservationWatch:
    """The guard's side: blocks of others, and cancels still to be confirmed.

    `to_cancel` maps a target to the holds that it must confirm as gone.
    """

    watched: dict[WatchedBlock, str] = field(default_factory=dict)
    to_cancel: dict[str, set[str]] = field(default_factory=dict)

    def add_block(self, watched: WatchedBlock, address: str) -> None:
        """Guard a block."""
        self.watched[watched] = address

    def remove_block(self, watched: WatchedBlock) -> None:
        """Stop guarding a block."""
        self.watched.pop(watched, None)

    def queue_owner_cancels(self, owner: str) -> list[WatchedBlock]:
        """Queue the cancels for an owner that is gone; return its blocks."""
        found = [one for one in self.watched if one.owner == owner]
        for one in found:
            self.watched.pop(one)
            ids = get_block_ids(owner, one.target, one.first)
            self.add_cancels(one.target, ids)
        return found

    def add_cancels(self, target: str, holds: tuple[str, ...]) -> None:
        """Queue holds of a target to be cancelled."""
        self.to_cancel.setdefault(target, set()).update(holds)

    def confirm_cancels(self, target: str, holds: tuple[str, ...]) -> None:
        """Note that a target holds nothing under these ids."""
        left = self.to_cancel.get(target, set()).difference(holds)
        if left:
            self.to_cancel[target] = left
        else:
            self.to_cancel.pop(target, None)
