"""
Playing a run
=============

From the start of the processes to the verdict.
"""

import shutil
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import anyio

from tests.soak.checks import OK, OWN_FAILURES, PROMISES, run_checks
from tests.soak.faults import disturb
from tests.soak.world import PRODUCT, Size, World

#: How long entries may take to be ready, and the last requests to end.
START_S = 30
SETTLE_S = 16
#: How long is waited after the last end, for leases to lapse, in seconds.
LAPSE_S = 4.5
#: Sizes of runs; among the plans without kills, every so many seeds play with
#: some dozens of processes.
FEW = Size(entries=6, engines=8, plain=5, callers=60)
MANY = Size(entries=24, engines=12, plain=8, callers=72)
MANY_EVERY = 8


@dataclass(frozen=True)
class Report:
    """What a run came to."""

    requests: int
    answered: int
    refused: int
    failed: int
    cut: int
    faults: int
    changes: int
    late_s: float
    violations: tuple[str, ...]


def get_size(plan: str, seed: int) -> Size:
    """Return how large the run of a seed is."""
    if plan == Size.plan:
        return Size()
    return replace(FEW if seed % MANY_EVERY else MANY, plan=plan)


def play(
    seed: int,
    size: Size,
    folder: Path,
    command: tuple[str, ...] = PRODUCT,
    *,
    timed: bool = True,
) -> Report:
    """Play one run; return what broke."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    return anyio.run(_play, seed, size, folder.absolute(), command, timed)


async def _play(
    seed: int,
    size: Size,
    folder: Path,
    command: tuple[str, ...],
    timed: bool,
) -> Report:
    rng = Random(seed)
    async with anyio.create_task_group() as group:
        world = World(size, rng, folder, group, command)
        try:
            await _run(world, rng)
        finally:
            world.end_processes()
        group.cancel_scope.cancel()
    world.ledger.write(folder / 'timeline.jsonl')
    violations = run_checks(world.ledger, timed=timed)
    attempts = world.ledger.attempts.values()
    return Report(
        requests=len(attempts),
        answered=sum(one.status == OK for one in attempts),
        refused=sum(one.status in PROMISES for one in attempts),
        failed=sum(one.status in OWN_FAILURES - PROMISES for one in attempts),
        cut=sum(bool(one.ended_at) and not one.whole for one in attempts),
        faults=len(world.ledger.faults),
        changes=len(world.ledger.changes),
        late_s=world.late_s,
        violations=tuple(violations),
    )


async def _run(world: World, rng: Random) -> None:
    await world.start()
    with anyio.fail_after(START_S):
        while not world.is_ready():
            await anyio.sleep(0.1)
    world.start_callers()
    async with anyio.create_task_group() as group:
        group.start_soon(disturb, world, rng)
        await anyio.sleep(world.size.run_s)
        world.over = True
    with anyio.move_on_after(SETTLE_S):
        while _is_waiting(world):
            await anyio.sleep(0.1)
    await anyio.sleep(LAPSE_S)
    await _stop(world)


def _is_waiting(world: World) -> bool:
    return any(
        one.ended_at is None and one.left_at is None
        for one in world.ledger.attempts.values()
    )


async def _stop(world: World) -> None:
    """End all entries as an operator does."""
    async with anyio.create_task_group() as group:
        for entry in world.entries:
            entry.last = True
            group.start_soon(entry.stop_gracefully)
    for entry in world.entries:
        await entry.ended.wait()
