"""Processes on loopback that run the packaged binary, for tests."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httpx

from trestledock.demo import get_free_port

ROOT = Path(__file__).parent.parent
BINARY = ROOT / 'build' / 'trestledock.pyz'
MODEL = 'ledger-70b::3'
SITES = ('halle-landshut', 'halle-passau', 'halle-freising')
TIMEOUT_S = 60


def build_once():
    """Build the binary unless CI has built it before."""
    if not BINARY.exists():
        command = [sys.executable, '-m', 'trestledock.packaging', str(BINARY)]
        subprocess.run(command, check=True, cwd=ROOT)


def wait_for(check, condition):
    """Wait until `check` returns true; the timeout is very generous."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if check():
                return
        except httpx.HTTPError:
            pass
        time.sleep(0.1)
    raise AssertionError(f'{condition}: timed out')


class Processes:
    """A platform, engines, a service and three instances."""

    def __init__(self):
        build_once()
        self.folder = tempfile.TemporaryDirectory()
        self.children = []
        self.urls = []
        self.instances = []
        self.platform = f'127.0.0.1:{get_free_port()}'
        self.start('standin', 'platform', '--listen', self.platform)
        base_url = f'http://{self.platform}'
        wait_for(lambda: httpx.get(f'{base_url}/v1/instances'), 'platform')
        self.engines = [self.add_engine(number) for number in range(2)]
        self.service = self.add_target('standin', 'service', 'booking')
        for number, site in enumerate(SITES):
            self.add_instance(f'entry-{number}', site)

    def start(self, *arguments):
        command = [sys.executable, '-S', str(BINARY), *arguments]
        env = {
            name: text
            for name, text in os.environ.items()
            if name != 'PYTHONPATH'
        }
        child = subprocess.Popen(
            command,
            cwd=self.folder.name,
            env=env,
            stderr=subprocess.DEVNULL,
        )
        self.children.append(child)
        return child

    def register(self, name, address, role, site, hardware=''):
        labels = {'role': role, 'data_centre': site, 'hardware': hardware}
        httpx.put(
            f'http://{self.platform}/v1/instances/{name}',
            json={'address': address, 'labels': labels},
        )

    def add_engine(self, number):
        options = ('--model', MODEL, '--itl-ms', '20', '--rate', '80000')
        return self.add_target(
            'standin',
            'engine',
            'assistant',
            f'engine-{number}',
            *options,
        )

    def add_target(self, group, kind, role, name='booking-0', *options):
        address = f'127.0.0.1:{get_free_port()}'
        self.start(group, kind, '--listen', address, *options)
        self.register(name, address, role, SITES[0], 'h100')
        return f'http://{address}'

    def add_instance(self, name, site):
        address = f'127.0.0.1:{get_free_port()}'
        path = Path(self.folder.name) / f'{name}.yaml'
        path.write_text(
            f'instance: {name}\ndata_centre: {site}\nlisten: {address}\n'
            f'platform: http://{self.platform}\nnotice_s: 0.5\n',
        )
        self.instances.append(self.start('serve', '--settings', str(path)))
        self.urls.append(f'http://{address}')
        self.register(name, address, 'entry', site)

    def publish(self):
        wait_for(lambda: httpx.get(f'{self.urls[0]}/healthz'), 'an instance')
        answer = httpx.post(
            f'{self.urls[0]}/admin/publish',
            content=(ROOT / 'examples' / 'huber.yaml').read_bytes(),
            timeout=TIMEOUT_S,
        )
        for url in self.urls:
            wait_for(lambda: self.is_settled(url), f'{url} ready')
        return answer.json()

    def is_settled(self, url):
        fleet = httpx.get(f'{url}/admin/fleet').json()
        engines = [target for target in fleet['targets'] if target['models']]
        known = {peer['member'].partition('#')[0] for peer in fleet['peers']}
        return fleet['epoch'] and len(engines) == 2 and len(known) >= 2

    def get_used_tokens(self):
        return [
            httpx.get(f'{url}/v1/holds').json()['used'] for url in self.engines
        ]

    def kill(self, number):
        self.instances[number].send_signal(signal.SIGKILL)
        self.instances[number].wait()

    def close(self):
        for child in self.children:
            child.kill()
            child.wait()
        self.folder.cleanup()
