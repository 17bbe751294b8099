"""
Feeds
=====

What the instances of a world read by themselves: the log, the instance list,
and the reports of targets, each as late and as patchy as the switches say.
"""

from dataclasses import replace

from trestledock.process import (
    CacheEvent,
    CacheReported,
    InstancesListed,
    LoadReport,
    LoadReported,
    LogRead,
)
from trestledock.proof._hosts import EngineHost, Host
from trestledock.proof._world import PLATFORM, World

#: Reports of an engine that are this close count as one, in seconds.
REPORT_STEP_S = 0.02
#: The cache events that an engine still tells.
MAX_CACHE_EVENTS = 20


def feed_log(world: World, host: Host) -> None:
    """Read the log, unless the platform is away."""
    away = world.switches.outage or not world.can_reach(host.name, PLATFORM)
    if not away:
        offset = host.node.state.reader.next_read
        batch = world.log.read(offset, world.now)
        world.deliver(host, PLATFORM, LogRead(batch))


def feed_list(world: World, host: Host) -> None:
    """Read the instance list as it was a little while ago."""
    away = world.switches.list_outage
    if away or not world.can_reach(host.name, PLATFORM):
        return
    wanted = world.now - world.switches.list_lag_s
    older = [one for one in world.lists if one[0] <= wanted]
    if older:
        _, targets, peers = older[-1]
        world.deliver(host, PLATFORM, InstancesListed(targets, peers))


def feed_loads(world: World, host: Host) -> None:
    """Read the reports and cache events of the targets in reach."""
    for name, engine in world.engines.items():
        if engine.alive and world.can_reach(host.name, name):
            world.deliver(host, name, _get_report(world, name, engine))
            _send_cache_events(world, host, name, engine)
    for name, service in world.services.items():
        if service.alive and world.can_reach(host.name, name):
            report = LoadReport(
                0,
                (),
                0,
                0,
                1,
                0,
                leaving=service.silent_leaving,
            )
            world.deliver(host, name, LoadReported(name, report))


def _get_report(world: World, name: str, engine: EngineHost) -> LoadReported:
    last = engine.reports[-1][0] if engine.reports else float('-inf')
    if world.now - last > REPORT_STEP_S:
        engine.reports.append((world.now, engine.model.report(world.now)))
        world.pump_engine(name)
    wanted = world.now - world.switches.report_lag_s
    older = [one for one in engine.reports if one[0] <= wanted]
    at, report = older[-1] if older else engine.reports[0]
    engine.reports = [one for one in engine.reports if one[0] >= at]
    report = replace(
        report,
        age_s=world.now - at,
        leaving=engine.silent_leaving,
    )
    return LoadReported(name, report)


def _send_cache_events(
    world: World,
    host: Host,
    name: str,
    engine: EngineHost,
) -> None:
    lines = engine.model.cache_log
    if lines:
        engine.model.cache_log = []
        gap = world.rng.random() < world.switches.cache_gap_share
        engine.sequence += 2 if gap else 1
        added = tuple(block for block, is_new in lines if is_new)
        removed = tuple(block for block, is_new in lines if not is_new)
        engine.cache_events.append(
            CacheEvent(engine.sequence, added, removed),
        )
        engine.cache_events = engine.cache_events[-MAX_CACHE_EVENTS:]
    target = host.node.state.fleet.targets.get(name)
    known = target.cache_sequence if target else -1
    for event in engine.cache_events:
        if event.sequence > known:
            world.deliver(host, name, CacheReported(name, event))
