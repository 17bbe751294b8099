"""
Cost measurements for capacity planning
=======================================

Measures the costs that docs/CAPACITY.md extrapolates from: the processor time
and the control traffic of an instance by the numbers of instances, targets and
teams; the processor time of the core for a request and a token; the memory of
its data structures; and the same costs of real processes on the loopback
interface.
"""

import gc
import json
import os
import subprocess  # noqa: S404 - starts the product's own processes
import sys
import tempfile
import time
import tracemalloc
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Callable

import click
import httpx

from trestledock.demo import get_free_port
from trestledock.process import (
    Arrive,
    ClaimAsk,
    ClaimTable,
    Epoch,
    PeerMessage,
    SendToPeer,
)
from trestledock.proof import (
    MODEL,
    DataCentre,
    Plan,
    World,
    make_world,
    populate_world,
)
from trestledock.request import Kind, Request
from trestledock.standin import EngineSpec
from trestledock.version import CONVERTER, EpochBody, Team

START_UP_S = 15.0
IDLE_S = 20.0
REQUESTS = 300
KILOBYTE = 1024
MEGABYTE = KILOBYTE**2
PERCENT = 100
MODEL_NAME = 'ledger-70b::3'


@dataclass
class CostMeter:
    """Measures the processor time and peer traffic of one instance's core."""

    seconds: float = 0
    steps: int = 0
    sent: int = 0
    received: int = 0
    kinds: dict[str, int] = field(default_factory=dict)

    def attach(self, world: World, name: str) -> None:
        """Measure all further steps of an instance."""
        node = world.hosts[name].node
        step = node.step

        def measured_step(message: Any, now: float) -> tuple:  # noqa: WPS430
            if isinstance(message, PeerMessage):
                self.received += _get_encoded_size(message.payload)
            started_at = time.process_time()
            actions = step(message, now)
            self.seconds += time.process_time() - started_at
            self.steps += 1
            for action in actions:
                if isinstance(action, SendToPeer):
                    self._count_sent(action)
            return actions

        node.step = measured_step  # type: ignore[method-assign]

    def _count_sent(self, action: SendToPeer) -> None:
        size = _get_encoded_size(action.payload)
        self.sent += size
        kind = type(action.payload).__name__
        self.kinds[kind] = self.kinds.get(kind, 0) + size


def _get_encoded_size(payload: Any) -> int:
    return len(json.dumps(CONVERTER.unstructure(payload)))


def make_settled_world(instances: int, engines: int, teams: int) -> World:
    """Return a world of one data centre after its start-up phase."""
    world = make_world(3)
    plan = Plan(
        data_centres=(DataCentre('a', instances, engines, 1),),
        spec=EngineSpec(stride=16),
        teams=tuple(Team(f'team-{number}') for number in range(teams)),
    )
    populate_world(plan, world)
    world.on_finish = None
    world.on_broken = None
    world.run_until(START_UP_S)
    return world


def measure_idle(instances: int, engines: int, teams: int) -> str:
    """Return the control costs of an instance without requests."""
    world = make_settled_world(instances, engines, teams)
    meter = CostMeter()
    meter.attach(world, 'entry-a1')
    world.run_until(START_UP_S + IDLE_S)
    cpu = PERCENT * meter.seconds / IDLE_S
    return (
        f'idle: instances {instances:3} targets {engines:3} teams {teams:3}: '
        f'core {cpu:.2f}% of a core, peers {meter.sent / IDLE_S:.0f} B/s sent '
        f'{meter.received / IDLE_S:.0f} B/s received'
    )


def measure_requests(engines: int, teams: int) -> str:
    """Return the processor time of the core for a request and for a chunk."""
    world = make_settled_world(2, engines, teams)
    costs = []
    for tokens in (16, 528):
        meter = CostMeter()
        meter.attach(world, 'entry-a1')
        started_at = world.now
        for number in range(REQUESTS):
            req = Request(
                f'{tokens}-{number}',
                'team-0',
                Kind.generate,
                world.now + 100,
                MODEL,
                prompt_tokens=1000,
                max_tokens=tokens,
            )
            world.invoke(world.hosts['entry-a1'], req)
            world.run_until(world.now + 0.25)
        world.run_until(world.now + 30)
        elapsed_s = world.now - started_at
        costs.append((meter.seconds, meter.steps, elapsed_s))
    (first_s, _, _), (second_s, _, _) = costs
    per_chunk = (second_s - first_s) / (REQUESTS * 32)
    return (
        f'request: targets {engines:3} teams {teams:3}: core '
        f'{1e6 * first_s / REQUESTS:.0f} us a request (control included), '
        f'{1e6 * per_chunk:.1f} us a chunk'
    )


def measure_memory(label: str, count: int, make: Callable[[int], Any]) -> str:
    """Return the bytes that each of `count` objects takes."""
    gc.collect()
    tracemalloc.start()
    objects = [make(number) for number in range(count)]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return f'memory: {label}: {size / len(objects):.0f} B each'


def measure_claims(count: int) -> str:
    """Return the bytes of a claim in a claim table."""
    table = ClaimTable('a')
    table.enter_epoch(Epoch(0, EpochBody(('a',))), 0)
    gc.collect()
    tracemalloc.start()
    for number in range(count):
        ask = _make_claim_ask(number)
        table.handle_ask('claimant#000001', ask, 0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return f'memory: claim ({count} of them): {size / count:.0f} B each'


def _make_claim_ask(number: int) -> Any:
    return ClaimAsk(f'kiosks/booking/key-{number}', f'claim-{number}', 0, 30)


class Deployment:
    """An instance and its engines as processes on the loopback interface."""

    def __init__(self, engines: int) -> None:
        """Start the processes and publish a configuration."""
        self.folder = tempfile.TemporaryDirectory()
        self.children: list[subprocess.Popen] = []
        self.platform = f'127.0.0.1:{get_free_port()}'
        self._start('standin', 'platform', '--listen', self.platform)
        _wait_until_listening(f'http://{self.platform}/v1/instances')
        for number in range(engines):
            address = f'127.0.0.1:{get_free_port()}'
            options = ('--model', MODEL_NAME, '--itl-ms', '4')
            self._start('standin', 'engine', '--listen', address, *options)
            self._register(f'engine-{number}', address, 'assistant')
        address = f'127.0.0.1:{get_free_port()}'
        self.url = f'http://{address}'
        path = Path(self.folder.name) / 'settings.yaml'
        path.write_text(
            f'instance: entry-0\ndata_centre: halle-landshut\n'
            f'listen: {address}\nplatform: http://{self.platform}\n',
            encoding='utf-8',
        )
        self.entry = self._start('serve', '--settings', str(path))
        self._register('entry-0', address, 'entry')
        _wait_until_listening(f'{self.url}/healthz')
        body = Path('examples/huber.yaml').read_bytes()
        httpx.post(f'{self.url}/admin/publish', content=body, timeout=60)
        time.sleep(8)

    def get_cpu(self) -> float:
        """Return the processor time of the instance so far, in seconds."""
        path = Path(f'/proc/{self.entry.pid}/stat')
        fields = path.read_text(encoding='ascii').rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def get_resident(self) -> float:
        """Return the resident memory of the instance in megabytes."""
        path = Path(f'/proc/{self.entry.pid}/statm')
        pages = int(path.read_text(encoding='ascii').split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / MEGABYTE

    def get_control_bytes(self) -> float:
        """Return the bytes of control traffic so far."""
        text = httpx.get(f'{self.url}/metrics').text
        return sum(
            float(line.split()[-1])
            for line in text.splitlines()
            if line.startswith('trestledock_control_bytes_total')
        )

    def complete(self, count: int, max_tokens: int) -> float:
        """Send sequential completions; return the processor time of each."""
        before = self.get_cpu()
        body = {
            'prompt': 'word' * 200,
            'model': 'ledger-70b',
            'version': '3',
            'max_tokens': max_tokens,
            'stream': True,
        }
        headers = {'trestledock-team': 'retail-assistant'}
        with httpx.Client(timeout=60) as client:
            for _ in range(count):
                client.post(
                    f'{self.url}/v1/completions',
                    json=body,
                    headers=headers,
                )
        return (self.get_cpu() - before) / count

    def close(self) -> None:
        """Kill the started processes."""
        for child in self.children:
            child.kill()
            child.wait()
        self.folder.cleanup()

    def _start(self, *arguments: str) -> subprocess.Popen:
        child = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', 'trestledock', *arguments],
            stderr=subprocess.DEVNULL,
        )
        self.children.append(child)
        return child

    def _register(self, name: str, address: str, role: str) -> None:
        labels = {
            'role': role,
            'data_centre': 'halle-landshut',
            'hardware': 'h100',
        }
        httpx.put(
            f'http://{self.platform}/v1/instances/{name}',
            json={'address': address, 'labels': labels},
        )


def _wait_until_listening(url: str) -> None:
    for _ in range(200):
        try:
            httpx.get(url)
        except httpx.TransportError:
            time.sleep(0.1)
        else:
            return
    raise TimeoutError(url)


def measure_process(engines: int) -> str:
    """Return the costs of an instance that runs as a process."""
    deployment = Deployment(engines)
    try:
        return (
            f'process: targets {engines:2}: {_measure_deployment(deployment)}'
        )
    finally:
        deployment.close()


def _measure_deployment(deployment: Deployment) -> str:
    cpu, bytes_before = deployment.get_cpu(), deployment.get_control_bytes()
    time.sleep(IDLE_S)
    idle = PERCENT * (deployment.get_cpu() - cpu) / IDLE_S
    control = (deployment.get_control_bytes() - bytes_before) / IDLE_S
    few = deployment.complete(60, 2)
    many = deployment.complete(60, 102)
    per_token = (many - few) / 100
    return (
        f'idle {idle:.2f}% of a core, control {control:.0f} B/s, '
        f'{few * 1000:.1f} ms a request, {per_token * 1e6:.0f} us a token, '
        f'{deployment.get_resident():.0f} MB resident'
    )


@click.command()
def main() -> None:
    """Print all measurements."""
    for instances in (3, 10, 30):
        click.echo(measure_idle(instances, 10, 10))
    for engines in (10, 40, 160):
        click.echo(measure_idle(3, engines, 10))
    for teams in (10, 80, 320):
        click.echo(measure_idle(3, 10, teams))
    for engines in (10, 40, 160):
        click.echo(measure_requests(engines, 10))
    for teams in (80, 320):
        click.echo(measure_requests(10, teams))
    for count in (1000, 4000, 16_000):
        click.echo(measure_claims(count))
    click.echo(measure_memory('request', 4000, _make_arrival))
    for engines in (2, 4, 8):
        click.echo(measure_process(engines))


def _make_arrival(number: int) -> Arrive:
    return Arrive(
        Request(f'r{number}', 'team', Kind.generate, 1.0, MODEL),
    )


if __name__ == '__main__':
    main()
