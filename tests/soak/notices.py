"""
Notices of targets as faults
============================

Targets that say something of themselves in their answers, for a while or for
good.  None of it is noted as a fault: it excuses nothing.
"""

from random import Random

import anyio

from tests.soak.targets import LEAVING, VANISHED, Target
from tests.soak.world import World

HALF = 0.5
#: How many requests a second a target asks for, for how long it names one
#: number, in seconds, and what is no number.
LIMITS = (0.2, 1, 2, 5, 10)
LIMITED_S = (6, 10)
NO_LIMITS = ('-1', 'none', '1,5', 'NaN')
SHORT_S = 0.3
#: For how long a target says only in its answers that it leaves, in seconds.
UNLISTED_S = (2, 9)
#: The rest that a target asks for, and for how long it turns all away, in
#: seconds.
RESTS = ('0.4', '1', '2.5', '4')
RESTING_S = (1, 8)


async def limit_target(world: World, rng: Random) -> None:
    """Let a target take fewer requests for a while; it may change its mind."""
    await _name_limits([world.pick_target()], rng)


async def limit_service(world: World, rng: Random) -> None:
    """Let all targets of a service take fewer requests for a while."""
    service = world.pick_target().service
    alike = [one for one in world.targets if one.service == service]
    await _name_limits(alike, rng)


async def _name_limits(targets: list[Target], rng: Random) -> None:
    for _ in range(rng.randint(1, 2)):
        for target in targets:
            per_s = rng.choice(LIMITS)
            target.name_limit(str(per_s), per_s)
        await anyio.sleep(rng.uniform(*LIMITED_S))
    if rng.random() < HALF:
        # What makes no sense takes nothing back.
        for target in targets:
            target.limit = rng.choice(NO_LIMITS)
        await anyio.sleep(SHORT_S)
    for target in targets:
        target.name_limit('', None)


async def leave_by_word(world: World, rng: Random) -> None:
    """Let a target say that it leaves some time before the store knows."""
    target = world.pick_target()
    target.says_leaving = True
    await anyio.sleep(rng.uniform(*UNLISTED_S))
    await world.replace(target, rng.choice((LEAVING, VANISHED)))


async def rest_target(world: World, rng: Random) -> None:
    """Let a target turn all away for a while and ask for rest."""
    await _ask_for_rest([world.pick_target()], rng)


async def rest_service(world: World, rng: Random) -> None:
    """Let all targets of a service do so at once."""
    service = world.pick_target().service
    alike = [one for one in world.targets if one.service == service]
    await _ask_for_rest(alike, rng)


async def _ask_for_rest(targets: list[Target], rng: Random) -> None:
    for target in targets:
        target.rest = rng.choice(RESTS)
    await anyio.sleep(rng.uniform(*RESTING_S))
    for target in targets:
        target.rest = ''
