"""
Reservation ids and their watchers
==================================

An engine keeps a reservation until it is cancelled or its stream ends, so
another instance must cancel the reservations of an owner that fails.  For this,
an owner allocates ids in blocks, from one sequence per target, and informs a
few peers of each block before using it.  A peer that finds the owner
unreachable cancels every id of its blocks; cancelling an unused id has no
effect.

One message to each watcher covers `BLOCK_SIZE` requests.
"""

from dataclasses import dataclass, field

#: The number of ids in a block.
BLOCK_SIZE = 64
#: The number of rejected ids after which a block is closed.
MAX_REJECTIONS = 2
#: The number of peers that watch a block.
WATCHERS_PER_BLOCK = 3


def make_reservation_id(member: str, target: str, number: int) -> str:
    """Return the id of reservation `number` of `member` on a target."""
    return f'{member}/{target}/{number}'


def get_block_ids(member: str, target: str, first: int) -> tuple[str, ...]:
    """Return all ids of a block."""
    return tuple(
        make_reservation_id(member, target, number)
        for number in range(first, first + BLOCK_SIZE)
    )


@dataclass
class IdBlock:
    """A block of ids at its owner.

    `watchers` are the peers that are asked to watch it, `confirmed_by` those
    that have confirmed, `notified` all that were ever asked.
    """

    target: str
    first: int
    next_number: int
    watchers: set[str] = field(default_factory=set)
    notified: set[str] = field(default_factory=set)
    confirmed_by: set[str] = field(default_factory=set)
    open_ids: set[str] = field(default_factory=set)
    asked_at: float = float('-inf')
    rejections: int = 0
    closed: bool = False

    @property
    def is_exhausted(self) -> bool:
        """Whether no ids are left."""
        return self.closed or self.next_number >= self.first + BLOCK_SIZE

    @property
    def is_done(self) -> bool:
        """Whether the block needs no watchers any more."""
        return self.is_exhausted and not self.open_ids


@dataclass
class ReservationIds:
    """The blocks of an owner; `current` maps a target to its current block."""

    member: str
    blocks: dict[tuple[str, int], IdBlock] = field(default_factory=dict)
    current: dict[str, IdBlock] = field(default_factory=dict)
    next_block_start: dict[str, int] = field(default_factory=dict)

    def get_block(self, target: str) -> IdBlock:
        """Return the target's current block, or a new one if it is used up."""
        block = self.current.get(target)
        if block is None or block.is_exhausted:
            first = self.next_block_start.get(target, 0)
            self.next_block_start[target] = first + BLOCK_SIZE
            block = IdBlock(target, first, first)
            self.current[target] = block
            self.blocks[target, first] = block
        return block

    def allocate_id(self, block: IdBlock) -> str:
        """Return the next id of a block; it is open until released."""
        hold = make_reservation_id(self.member, block.target, block.next_number)
        block.next_number += 1
        block.open_ids.add(hold)
        return hold

    def release(self, hold: str) -> None:
        """Record that a reservation was released on its engine."""
        for block in self.blocks.values():
            block.open_ids.discard(hold)

    def get_notified_peers(self) -> set[str]:
        """Return all peers that were ever asked to watch a block in use.

        They need heartbeats of this instance, or they would cancel the block.
        """
        return set().union(*(block.notified for block in self.blocks.values()))

    def record_rejection(self, hold: str) -> None:
        """Record a rejected id, and close its block after too many.

        A peer that found this instance unreachable may have cancelled the
        block.
        """
        for block in self.blocks.values():
            if hold in block.open_ids:
                block.rejections += 1
                block.closed = block.rejections >= MAX_REJECTIONS

    def pop_done(self) -> list[IdBlock]:
        """Remove and return the blocks that need no watchers any more."""
        done = [block for block in self.blocks.values() if block.is_done]
        for block in done:
            self.blocks.pop((block.target, block.first))
        return done

    def close_blocks(self) -> None:
        """Close all blocks, because watchers may have cancelled their ids.

        This is needed after a pause of the process.
        """
        for block in self.blocks.values():
            block.closed = True


@dataclass(frozen=True)
class WatchedBlock:
    """A block that this instance watches for its owner."""

    owner: str
    target: str
    first: int


@dataclass
class ReservationWatch:
    """The blocks that this instance watches, and unconfirmed cancels.

    `to_cancel` maps a target to the reservations that it must confirm as
    released.
    """

    watched: dict[WatchedBlock, str] = field(default_factory=dict)
    to_cancel: dict[str, set[str]] = field(default_factory=dict)

    def add_block(self, watched: WatchedBlock, address: str) -> None:
        """Watch a block."""
        self.watched[watched] = address

    def remove_block(self, watched: WatchedBlock) -> None:
        """Stop watching a block."""
        self.watched.pop(watched, None)

    def queue_owner_cancels(self, owner: str) -> list[WatchedBlock]:
        """Queue the cancels for an unreachable owner; return its blocks."""
        blocks = [block for block in self.watched if block.owner == owner]
        for block in blocks:
            self.watched.pop(block)
            ids = get_block_ids(owner, block.target, block.first)
            self.add_cancels(block.target, ids)
        return blocks

    def add_cancels(self, target: str, holds: tuple[str, ...]) -> None:
        """Queue reservations on a target to be cancelled."""
        self.to_cancel.setdefault(target, set()).update(holds)

    def confirm_cancels(self, target: str, holds: tuple[str, ...]) -> None:
        """Record that a target has released these reservations."""
        unconfirmed = self.to_cancel.get(target, set()).difference(holds)
        if unconfirmed:
            self.to_cancel[target] = unconfirmed
        else:
            self.to_cancel.pop(target, None)
