"""
Faults
======

What is done to a run from outside.  Each kind is a function that disturbs one
thing for a time that it draws; several may overlap.  What is noted as a fault
excuses what it touches; planned work is not noted and excuses nothing.
"""

import signal
import time
from contextlib import contextmanager
from random import Random
from types import MappingProxyType
from typing import Awaitable, Callable, Iterator

import anyio

from tests.soak.callers import TIMEOUT_S
from tests.soak.entries import Entry
from tests.soak.ledger import ALL_ENTRIES, Fault
from tests.soak.links import Blocked
from tests.soak.notices import (
    drain_unlisted,
    limit_service,
    limit_target,
    back_off_service,
    back_off_target,
)
from tests.soak.store import TARGETS
from tests.soak.targets import DRAINING, VANISHED
from tests.soak.world import World

#: How long a fault lasts, in seconds.
FAULT_S = (0.5, 5)
#: Chances of the variants of a fault.
HALF = 0.5
MOSTLY = 0.7
#: The least and the longest pauses between the beginnings of two faults, in
#: seconds: a run has one of them as its longest, so that some runs have many
#: faults at once, and in others one can be told from the next.
MIN_GAP_S = 0.1
MAX_GAPS_S = (1.2, 3, 6)
#: The same of planned work, which begins more often.
MAX_PLANNED_GAPS_S = (0.8, 1.5, 3)
#: Steps of a series, and the pauses between them: between targets that are
#: replaced, and between versions or changed settings at most, in seconds.
SERIES_LENGTH = (3, 8)
REPLACEMENT_GAP_S = (0.5, 1.2)
MAX_CHANGE_GAP_S = 0.3
#: For how long the entry that reads the store stands still, in seconds.
FREEZE_READER_S = (2, 4)
#: After what pause a target that has crashed starts again, in seconds: before
#: its entry has lapsed, and after that.
TARGET_RESTART_S = (0.2, 5)
#: For how long the store is away before it comes back from a copy, how old that
#: is, and after how long its writers have written again, in seconds.
STORE_OUTAGE_S = (0.05, 1.5)
COPY_AGE_S = (1, 8)
REWRITE_DELAY_S = (0, 1.8)
#: Names of entries that name no target, and what no field of one may be.
INVALID_KEY_PREFIX = 'x-'
INVALID_VALUES = (None, True, 0.5, [], {'a': 1})

FaultKind = Callable[[World, Random], Awaitable[None]]


@contextmanager
def recorded_fault(
    world: World, kind: str, entry: str = '', target: str = ''
) -> Iterator[Fault]:
    """Note a fault for as long as it lasts."""
    fault = world.ledger.begin_fault(kind, entry, target)
    try:
        yield fault
    finally:
        fault.ended_at = world.ledger.began_at + world.get_elapsed_s()


async def _wait_for_fault(rng: Random, max_s: float = FAULT_S[1]) -> None:
    await anyio.sleep(rng.uniform(FAULT_S[0], max_s))


def _pick_entry(world: World, rng: Random) -> Entry:
    return rng.choice(world.entries)


async def kill_entry(world: World, rng: Random) -> None:
    """Kill one entry; it starts again after a moment."""
    entry = _pick_entry(world, rng)
    with recorded_fault(world, 'kill_entry', entry.name):
        entry.send(signal.SIGKILL)
        await anyio.sleep(2)


async def kill_all(world: World, rng: Random) -> None:
    """Kill all entries at the same moment."""
    with recorded_fault(world, 'kill_all', ALL_ENTRIES):
        for entry in world.entries:
            entry.send(signal.SIGKILL)
        await anyio.sleep(2)


async def freeze_reader(world: World, rng: Random) -> None:
    """Stop the entry that reads the store for all, and let it go on.

    By its name it is the first.  Between two stops it goes on for long enough
    to read and to be asked.
    """
    entry = world.entries[0]
    if rng.random() > MOSTLY:
        entry = _pick_entry(world, rng)
    now = time.monotonic()
    if not world.ledger.is_undisturbed(entry.name, now, now):
        return
    with recorded_fault(world, 'freeze_reader', entry.name):
        entry.send(signal.SIGSTOP)
        await anyio.sleep(rng.uniform(*FREEZE_READER_S))
        entry.send(signal.SIGCONT)


async def freeze_entry(world: World, rng: Random) -> None:
    """Stop one entry and let it go on; a key may be revoked meanwhile."""
    entry = _pick_entry(world, rng)
    with recorded_fault(world, 'freeze_entry', entry.name):
        entry.send(signal.SIGSTOP)
        if rng.random() < HALF:
            world.revoke()
        await _wait_for_fault(rng, 7)
        entry.send(signal.SIGCONT)


async def restart_entry(world: World, rng: Random) -> None:
    """End one entry gracefully; it starts again."""
    entry = _pick_entry(world, rng)
    if not entry.ending:
        with recorded_fault(world, 'restart_entry', f'graceful {entry.name}'):
            await entry.stop_gracefully()


async def hang_up(world: World, rng: Random) -> None:
    """Change the settings file of some entries, with a hang-up or without."""
    for entry in rng.sample(world.entries, 2):
        entry.slack += 1
        entry.write_settings()
        if rng.random() < MOSTLY:
            entry.send(signal.SIGHUP)
    await anyio.sleep(0)


async def hang_up_in_series(world: World, rng: Random) -> None:
    """Change settings several times, each time before the last is settled."""
    for _ in range(rng.randint(*SERIES_LENGTH)):
        await hang_up(world, rng)
        await anyio.sleep(rng.uniform(0, MAX_CHANGE_GAP_S))


async def publish_in_series(world: World, rng: Random) -> None:
    """Publish versions in quick succession; routes' times only grow."""
    for _ in range(rng.randint(*SERIES_LENGTH)):
        world.variant = rng.randint(0, 200)
        name = rng.choice(list(TIMEOUT_S))
        world.timeouts_s[name] = TIMEOUT_S[name] * rng.uniform(1, 2)
        world.publish()
        await anyio.sleep(rng.uniform(0, MAX_CHANGE_GAP_S))


async def cut_store(world: World, rng: Random) -> None:
    """Cut one entry from the store, in one direction or in both."""
    entry = _pick_entry(world, rng)
    with recorded_fault(world, 'cut_store', entry.name):
        entry.store_link.set_blocked(
            rng.choice((Blocked.up, Blocked.down, Blocked.both))
        )
        if rng.random() < HALF:
            world.revoke()
        await _wait_for_fault(rng, 9)
        entry.store_link.set_blocked(Blocked.none)


async def reset_store(world: World, rng: Random) -> None:
    """Reset an entry's connections to the store, or let them fall silent."""
    entry = _pick_entry(world, rng)
    with recorded_fault(world, 'reset_store', entry.name):
        if rng.random() < HALF:
            entry.store_link.reset_all()
        else:
            entry.store_link.silence_open()
        await anyio.sleep(0.1)


async def store_down(world: World, rng: Random) -> None:
    """Let the store answer 503 or 429, be slow, or lose its answers.

    The operator still reaches it, and may take a key away.
    """
    store = world.store
    with recorded_fault(world, 'store_down', ALL_ENTRIES):
        how = rng.choice(('status', 'slow', 'losing'))
        if how == 'status':
            store.status = rng.choice((503, 429))
        elif how == 'slow':
            store.delay_s = 0.5
        else:
            store.drops_answers = True
        if rng.random() < HALF:
            world.revoke()
        await _wait_for_fault(rng, 9)
        store.status, store.delay_s, store.drops_answers = 200, 0.002, False


async def forget_history(world: World, rng: Random) -> None:
    """Let the store forget the history of its topics."""
    for topic in world.store.topics.values():
        topic.drop_history()
    await anyio.sleep(0)


async def restore_store(world: World, rng: Random) -> None:
    """Let the store be away for a moment and come back from an older copy.

    The operator and the targets write again what they had written.  A key may
    have been taken away in a version that is lost before anybody has read it.
    """
    store = world.store
    with recorded_fault(world, 'restore_store', ALL_ENTRIES):
        await anyio.sleep(rng.uniform(0, 1))
        if rng.random() < HALF:
            world.revoke()
            await anyio.sleep(rng.uniform(0, 1))
        store.status = 503
        await anyio.sleep(rng.uniform(*STORE_OUTAGE_S))
        store.go_back(rng.uniform(*COPY_AGE_S))
        store.status = 200
        await anyio.sleep(rng.uniform(*REWRITE_DELAY_S))
        store.write_again()


async def crash_target(world: World, rng: Random) -> None:
    """Let a target die, and another come."""
    target = world.pick_target()
    with recorded_fault(world, 'crash_target', target=target.incarnation):
        await world.crash(target)


async def restart_target(world: World, rng: Random) -> None:
    """Let a target crash and start again under the id that it had."""
    target = world.pick_target()
    with recorded_fault(world, 'restart_target', target=target.incarnation):
        await world.restart(target, rng.uniform(*TARGET_RESTART_S))


async def write_invalid_records(world: World, rng: Random) -> None:
    """Write entries that name no target, beside those of targets."""
    for _ in range(rng.randint(1, 4)):
        plain = world.pick_target().make_record()
        name = rng.choice(list(plain))
        plain[name] = rng.choice(INVALID_VALUES)
        key = f'{INVALID_KEY_PREFIX}{rng.randint(1, 5)}'
        world.store.put_json(TARGETS, key, plain)
        await anyio.sleep(rng.uniform(0, 0.5))


async def drain_target(world: World, rng: Random) -> None:
    """Replace a target as planned."""
    target = world.pick_target()
    with recorded_fault(world, 'drain_target'):
        await world.replace(target)


async def replace_in_series(world: World, rng: Random) -> None:
    """Replace targets one after the other; some vanish without a word."""
    async with anyio.create_task_group() as group:
        for _ in range(rng.randint(*SERIES_LENGTH)):
            state = rng.choice((DRAINING, VANISHED))
            group.start_soon(world.replace, world.pick_target(), state)
            await anyio.sleep(rng.uniform(*REPLACEMENT_GAP_S))


async def cut_target(world: World, rng: Random) -> None:
    """Cut a target off, in one direction or in both."""
    target = world.pick_target()
    link = target.link
    with recorded_fault(world, 'cut_target', target=target.incarnation):
        link.set_blocked(rng.choice((Blocked.up, Blocked.down, Blocked.both)))
        await _wait_for_fault(rng)
        link.set_blocked(Blocked.none)


async def shake_target(world: World, rng: Random) -> None:
    """Reset, silence or delay the connections of a target."""
    target = world.pick_target()
    link = target.link
    with recorded_fault(world, 'shake_target', target=target.incarnation):
        how = rng.choice(('reset', 'silence', 'delay'))
        if how == 'reset':
            link.reset_all()
        elif how == 'silence':
            link.silence_open()
        else:
            link.delay_s = rng.uniform(0.05, 0.6)
        await _wait_for_fault(rng)
        link.delay_s = 0


async def spoil_target(world: World, rng: Random) -> None:
    """Let a target do something wrong with a share of its requests."""
    target = world.pick_target()
    quirks = target.quirks
    name = rng.choice(('fails', 'sheds', 'loses', 'breaks', 'mixes', 'mute'))
    with recorded_fault(
        world, f'spoil_target {name}', target=target.incarnation
    ):
        setattr(quirks, name, rng.uniform(0.1, 0.8))
        await _wait_for_fault(rng)
        setattr(quirks, name, 0)


async def revoke_key(world: World, rng: Random) -> None:
    """Take a key away."""
    world.revoke()
    await anyio.sleep(0)


async def change_timeouts(world: World, rng: Random) -> None:
    """Publish some versions in quick succession with other time-outs."""
    for _ in range(rng.randint(1, 4)):
        for name in world.timeouts_s:
            world.timeouts_s[name] = rng.uniform(2, 8)
        world.publish()
        await anyio.sleep(rng.uniform(0, 0.3))


#: Kinds of faults with their weights.  New kinds go into plans of their own:
#: the seeds of a plan that is known to have failed must draw what they drew.
MIXED: dict[FaultKind, int] = {
    kill_entry: 3,
    kill_all: 1,
    freeze_entry: 3,
    restart_entry: 4,
    hang_up: 2,
    cut_store: 3,
    reset_store: 2,
    store_down: 3,
    forget_history: 1,
    crash_target: 3,
    drain_target: 3,
    cut_target: 3,
    shake_target: 3,
    spoil_target: 4,
    revoke_key: 3,
    change_timeouts: 2,
}
PLANNED: dict[FaultKind, int] = {
    restart_entry: 8,
    hang_up_in_series: 3,
    publish_in_series: 3,
    replace_in_series: 2,
    drain_target: 1,
}
STANDSTILL: dict[FaultKind, int] = {
    freeze_reader: 4,
    replace_in_series: 2,
    publish_in_series: 1,
}
AGAIN: dict[FaultKind, int] = {
    restart_target: 8,
    write_invalid_records: 4,
    drain_target: 2,
    replace_in_series: 1,
    freeze_reader: 2,
    cut_store: 2,
    store_down: 2,
    restart_entry: 2,
}
DEADLY: dict[FaultKind, int] = {
    kill_entry: 4,
    kill_all: 2,
    freeze_entry: 2,
    restart_entry: 2,
    cut_store: 2,
    store_down: 2,
    forget_history: 1,
    crash_target: 2,
    shake_target: 2,
    hang_up: 1,
}
LIMITED: dict[FaultKind, int] = {
    limit_target: 8,
    limit_service: 2,
    kill_entry: 2,
    kill_all: 1,
    freeze_entry: 2,
    restart_entry: 2,
    restart_target: 1,
    drain_target: 2,
    cut_store: 1,
}
TOLD: dict[FaultKind, int] = {
    drain_unlisted: 6,
    back_off_target: 6,
    back_off_service: 2,
    limit_target: 1,
    store_down: 3,
    cut_store: 2,
    kill_entry: 1,
    freeze_entry: 2,
    restart_entry: 2,
    restart_target: 1,
    drain_target: 1,
}
RESTORED: dict[FaultKind, int] = {
    restore_store: 6,
    kill_entry: 3,
    kill_all: 2,
    freeze_reader: 2,
    cut_store: 2,
    reset_store: 1,
    restart_entry: 2,
    crash_target: 2,
    restart_target: 1,
    drain_target: 3,
    revoke_key: 2,
}
PLANS = MappingProxyType(
    {
        'mixed': MIXED,
        'planned': PLANNED,
        'standstill': STANDSTILL,
        'again': AGAIN,
        'deadly': DEADLY,
        'restored': RESTORED,
        'limited': LIMITED,
        'told': TOLD,
    }
)


async def disturb(world: World, rng: Random) -> None:
    """Begin one fault after the other until the run is over."""
    kinds = PLANS[world.size.plan]
    names = list(kinds)
    is_planned = kinds is PLANNED
    longest_s = rng.choice(MAX_PLANNED_GAPS_S if is_planned else MAX_GAPS_S)
    async with anyio.create_task_group() as group:
        while not world.finished:
            await anyio.sleep(rng.uniform(MIN_GAP_S, longest_s))
            while not world.has_targets():
                await anyio.sleep(MIN_GAP_S)
            kind = rng.choices(names, list(kinds.values()))[0]
            group.start_soon(kind, world, Random(rng.random()))
