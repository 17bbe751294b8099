"""
Partitions between entries and targets
======================================

Cut entries off from some or all targets, while callers, the store and the other
entries still reach them.
"""

from random import Random

import anyio

from tests.soak.links import Cut
from tests.soak.world import DATA_CENTRES, World

#: How long entries are cut off from targets, in seconds, and how long links
#: that flap are cut and whole.
PARTITION_S = (4, 9)
FLAP_S = (0.3, 2)
#: How often such links are cut in a series.
FLAPS = (3, 8)


async def partition_entries(world: World, rng: Random) -> None:
    """Cut some entries, or all, off from all targets."""
    count = rng.randint(1, len(world.entries))
    partition = world.begin_partition(
        rng.sample(world.entries, count), rng.choice(list(Cut))
    )
    await anyio.sleep(rng.uniform(*PARTITION_S))
    world.end_partition(partition)


async def partition_data_centre(world: World, rng: Random) -> None:
    """Cut all entries of a data centre off from all targets."""
    data_centre = rng.choice(DATA_CENTRES)
    entries = [one for one in world.entries if one.data_centre == data_centre]
    partition = world.begin_partition(entries, rng.choice(list(Cut)))
    await anyio.sleep(rng.uniform(*PARTITION_S))
    world.end_partition(partition)


async def partition_partly(world: World, rng: Random) -> None:
    """Cut some entries off from one service or data centre."""
    count = rng.randint(1, len(world.entries) - 1)
    part = rng.choice(
        (
            {'service': rng.choice(('engines', 'booking'))},
            {'data_centre': rng.choice(DATA_CENTRES)},
        )
    )
    partition = world.begin_partition(
        rng.sample(world.entries, count), rng.choice(list(Cut)), **part
    )
    await anyio.sleep(rng.uniform(*PARTITION_S))
    world.end_partition(partition)


async def flap(world: World, rng: Random) -> None:
    """Cut an entry's links to all targets repeatedly, for a moment each."""
    entry = rng.choice(world.entries)
    cut = rng.choice(list(Cut))
    for _ in range(rng.randint(*FLAPS)):
        partition = world.begin_partition([entry], cut)
        await anyio.sleep(rng.uniform(*FLAP_S))
        world.end_partition(partition)
        await anyio.sleep(rng.uniform(*FLAP_S))
