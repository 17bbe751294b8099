"""
Notices of targets
==================

Disturbances in which targets announce rate limits, draining, back-offs or a
cold time in their answers.  They aren't recorded as faults, so they excuse no
violation.
"""

from random import Random

import anyio

from tests.soak.ledger import CONTACT_TIMEOUT_S
from tests.soak.targets import DRAINING, VANISHED, Target
from tests.soak.world import World

HALF = 0.5
#: Rate limits that targets announce, in requests a second, how long one limit
#: applies, in seconds, and invalid texts of limits.
LIMITS_PER_S = (0.2, 1, 2, 5, 10)
LIMITED_S = (6, 10)
INVALID_LIMITS = ('-1', 'none', '1,5', 'NaN')
INVALID_LIMIT_S = 0.3
#: How long a target announces draining only in its answers, in seconds.
UNLISTED_DRAIN_S = (2, 9)
#: Back-offs that targets ask for, and how long they refuse all requests, in
#: seconds.
BACKOFFS_S = ('0.4', '1', '2.5', '4')
REFUSING_S = (1, 8)
#: How long a target is cold that became so while it served, in seconds.
COOLED_S = (5, 8)
#: How long a target that asked for back-off is down before it starts again, in
#: seconds.
QUICK_RESTART_S = (0.05, 0.3)


async def limit_target(world: World, rng: Random) -> None:
    """Rate-limit a target for a while; the limit may change once."""
    await _set_limits([world.pick_target()], rng)


async def limit_service(world: World, rng: Random) -> None:
    """Rate-limit all targets of a service for a while."""
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
        # An invalid limit must not lift the limit before it.
        for target in targets:
            target.limit = rng.choice(INVALID_LIMITS)
        await anyio.sleep(INVALID_LIMIT_S)
    for target in targets:
        target.set_limit('', None)


async def drain_unlisted(world: World, rng: Random) -> None:
    """Announce draining in answers some time before the store lists it."""
    target = world.pick_target()
    target.announces_draining = True
    await anyio.sleep(rng.uniform(*UNLISTED_DRAIN_S))
    await world.replace(target, rng.choice((DRAINING, VANISHED)))


async def back_off_target(world: World, rng: Random) -> None:
    """Make a target refuse all requests for a while and ask for back-off."""
    await _request_backoff(world, [world.pick_target()], rng)


async def back_off_service(world: World, rng: Random) -> None:
    """Make all targets of a service ask for back-off at once."""
    service = world.pick_target().service
    same_service = [one for one in world.targets if one.service == service]
    await _request_backoff(world, same_service, rng)


async def restart_backing_off(world: World, rng: Random) -> None:
    """Restart a target under its id after it has asked for back-off."""
    target = world.pick_target()
    await _request_backoff(world, [target], rng, restart=True)


async def restart_service(world: World, rng: Random) -> None:
    """Do the same with all targets of a service."""
    service = world.pick_target().service
    same_service = [one for one in world.targets if one.service == service]
    await _request_backoff(world, same_service, rng, restart=True)


async def cool_target(world: World, rng: Random) -> None:
    """Make a target cold that serves; entries learn it from its answers."""
    await anyio.sleep(0)
    target = world.pick_target()
    target.become_cold(rng.uniform(*COOLED_S), CONTACT_TIMEOUT_S)


async def _request_backoff(
    world: World,
    targets: list[Target],
    rng: Random,
    *,
    restart: bool = False,
) -> None:
    for target in targets:
        target.retry_after = rng.choice(BACKOFFS_S)
    await anyio.sleep(rng.uniform(*REFUSING_S))
    for target in targets:
        target.retry_after = ''
        if restart and not target.stopped.is_set():
            await world.restart(target, rng.uniform(*QUICK_RESTART_S))
