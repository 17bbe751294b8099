"""
Notices of targets as faults
============================

Targets that say something of themselves in their answers, for a while or for
good.  None of it is noted as a fault: it excuses nothing.
"""

from random import Random

import anyio

from tests.soak.targets import DRAINING, VANISHED, Target
from tests.soak.world import World

HALF = 0.5
#: How many requests a second a target asks for, for how long it names one
#: number, in seconds, and what is no number.
LIMITS_PER_S = (0.2, 1, 2, 5, 10)
LIMITED_S = (6, 10)
INVALID_LIMITS = ('-1', 'none', '1,5', 'NaN')
INVALID_LIMIT_S = 0.3
#: For how long a target says only in its answers that it leaves, in seconds.
UNLISTED_DRAIN_S = (2, 9)
#: The rest that a target asks for, and for how long it turns all away, in
#: seconds.
BACKOFFS_S = ('0.4', '1', '2.5', '4')
REFUSING_S = (1, 8)


async def limit_target(world: World, rng: Random) -> None:
    """Let a target take fewer requests for a while; it may change its mind."""
    await _set_limits([world.pick_target()], rng)


async def limit_service(world: World, rng: Random) -> None:
    """Let all targets of a service take fewer requests for a while."""
    service = world.pick_target().service
    same_service = [one for one in world.targets if one.service == service]
    await _set_limits(same_service, rng)


async def _set_limits(targets: list[Target], rng: Random) -> None:
    for _ in range(rng.randint(1, 2)):
        for target in targets:
            per_s = rng.choice(LIMITS_PER_S)
            target.set_limit(str(per_s), per_s)
        await anyio.sleep(rng.uniform(*LIMITED_S))
    if rng.random() < HALF:
        # What makes no sense takes nothing back.
        for target in targets:
            target.limit = rng.choice(INVALID_LIMITS)
        await anyio.sleep(INVALID_LIMIT_S)
    for target in targets:
        target.set_limit('', None)


async def drain_unlisted(world: World, rng: Random) -> None:
    """Let a target say that it leaves some time before the store knows."""
    target = world.pick_target()
    target.announces_draining = True
    await anyio.sleep(rng.uniform(*UNLISTED_DRAIN_S))
    await world.replace(target, rng.choice((DRAINING, VANISHED)))


async def back_off_target(world: World, rng: Random) -> None:
    """Let a target turn all away for a while and ask for rest."""
    await _request_backoff([world.pick_target()], rng)


async def back_off_service(world: World, rng: Random) -> None:
    """Let all targets of a service do so at once."""
    service = world.pick_target().service
    same_service = [one for one in world.targets if one.service == service]
    await _request_backoff(same_service, rng)


async def _request_backoff(targets: list[Target], rng: Random) -> None:
    for target in targets:
        target.rest = rng.choice(BACKOFFS_S)
    await anyio.sleep(rng.uniform(*REFUSING_S))
    for target in targets:
        target.rest = ''
