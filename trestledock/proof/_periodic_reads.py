"""
Periodic reads
==============

What the instances of a world read periodically: the log, the instance list, and
the reports of targets, with the lags and gaps that the fault settings give.
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

#: The least interval between two reports of an engine, in seconds.
REPORT_INTERVAL_S = 0.02
#: The number of recent cache events that an engine sends.
MAX_CACHE_EVENTS = 20


def read_log(world: World, host: Host) -> None:
    """Read the log, unless the platform is unreachable."""
    unreachable = world.faults.outage or not world.can_reach(
        host.name, PLATFORM
    )
    if not unreachable:
        offset = host.node.state.reader.next_read
        batch = world.log.read(offset, world.now)
        world.deliver(host, PLATFORM, LogRead(batch))


def read_instance_list(world: World, host: Host) -> None:
    """Read the instance list as of some time ago."""
    unreachable = world.faults.list_outage
    if unreachable or not world.can_reach(host.name, PLATFORM):
        return
    as_of = world.now - world.faults.list_lag_s
    earlier = [
        version for version in world.instance_lists if version[0] <= as_of
    ]
    if earlier:
        _, targets, peers = earlier[-1]
        world.deliver(host, PLATFORM, InstancesListed(targets, peers))


def read_loads(world: World, host: Host) -> None:
    """Read the reports and cache events of all reachable targets."""
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
                leaving=service.reports_draining,
            )
            world.deliver(host, name, LoadReported(name, report))


def _get_report(world: World, name: str, engine: EngineHost) -> LoadReported:
    last = engine.reports[-1][0] if engine.reports else float('-inf')
    if world.now - last > REPORT_INTERVAL_S:
        engine.reports.append((world.now, engine.model.report(world.now)))
        world.advance_engine(name)
    as_of = world.now - world.faults.report_lag_s
    earlier = [item for item in engine.reports if item[0] <= as_of]
    at, report = earlier[-1] if earlier else engine.reports[0]
    engine.reports = [item for item in engine.reports if item[0] >= at]
    report = replace(
        report,
        age_s=world.now - at,
        leaving=engine.reports_draining,
    )
    return LoadReported(name, report)


def _send_cache_events(
    world: World,
    host: Host,
    name: str,
    engine: EngineHost,
) -> None:
    changes = engine.model.cache_log
    if changes:
        engine.model.cache_log = []
        gap = world.rng.random() < world.faults.cache_gap_share
        engine.sequence += 2 if gap else 1
        added = tuple(block for block, is_new in changes if is_new)
        removed = tuple(block for block, is_new in changes if not is_new)
        engine.cache_events.append(
            CacheEvent(engine.sequence, added, removed),
        )
        engine.cache_events = engine.cache_events[-MAX_CACHE_EVENTS:]
    target = host.node.state.fleet.targets.get(name)
    known = target.cache_sequence if target else -1
    for event in engine.cache_events:
        if event.sequence > known:
            world.deliver(host, name, CacheReported(name, event))
