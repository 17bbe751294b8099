"""
Stand-ins of the second review
==============================

A store, runners, clients and the processes of the entries, all on loopback
addresses and the real clock.  They speak what PROTOCOL.md and DEPLOY.md say, as
far as the cases need it, and use the standard library only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OFFSETS = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
HEARTBEAT_S = 1.2
REASONS = {200: 'OK', 403: 'Forbidden', 410: 'Gone', 421: 'Misdirected Request',
           412: 'Precondition Failed', 503: 'Service Unavailable'}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: Closed ports and addresses are drawn by the system, so several runs of the
#: scripts side by side don't meet.
_rng = random.SystemRandom()


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, /, **fields):
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self.file.write(f'{self.now():8.3f} {what} {text}\n')
        self.file.flush()


# --- HTTP ----------------------------------------------------------------

async def read_head(reader):
    """Return the first line and the headers, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    return first, headers


def make_head(status, headers):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def make_answer(status, headers=(), body=b''):
    return make_head(status, (*headers, ('Content-Length', len(body)))) + body


def make_chunk(raw):
    return b'%x\r\n%s\r\n' % (len(raw), raw)


# --- the platform's store --------------------------------------------------

class Store:
    """The log, as far as entries use it: keyed topics with one partition."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()

    async def start(self, host):
        server = await asyncio.start_server(self._serve, host, 0)
        self.server = server
        port = server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, topic, key, value):
        """Append a record; an empty value drops the key."""
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                first, headers = head
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                method, target, _ = first.split(' ')
                path, _, query = target.partition('?')
                fields = dict(urllib.parse.parse_qsl(query))
                writer.write(await self._answer(method, path, fields, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, fields, body):
        topic = fields.get('topic', '')
        records = self.topics.setdefault(topic, [])
        if path == '/log-append':
            if topic in {'keyed.op', 'keyed.servers'}:
                return make_answer(403)
            end = len(records)
            if int(fields.get('expectedEnd', end)) != end:
                return _json(412, {'endOffset': end})
            at = 0
            while at < len(body):
                size = LENGTH.unpack_from(body, at)[0]
                raw = body[at + 4:at + 4 + size]
                at += 4 + size
                self.put(topic, raw[1:1 + raw[0]].decode(), raw[1 + raw[0]:])
            return _json(200, {'offset': end, 'endOffset': len(records)})
        if path == '/log-read':
            start = int(fields['from'])
            wait_s = int(fields.get('waitMs', 0)) / 1000
            until = time.monotonic() + wait_s
            while len(records) <= start and time.monotonic() < until:
                left = until - time.monotonic()
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    break
            framed = b''
            for key, value in records[start:]:
                raw = bytes([len(key)]) + key.encode() + value
                framed += LENGTH.pack(len(raw)) + raw
            return make_answer(200, (), OFFSETS.pack(len(records), 0) + framed)
        if path == '/log-newest':
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            items = [
                {'key': key, 'value': base64.b64encode(value).decode(),
                 'offset': offset}
                for key, (offset, value) in sorted(newest.items())
            ]
            return _json(200, {'items': items, 'hasMore': False,
                               'endOffset': len(records)})
        return make_answer(404)


def _json(status, data):
    headers = [('Content-Type', 'application/json')]
    return make_answer(status, headers, json.dumps(data).encode())


# --- runners ---------------------------------------------------------------

class Runner:
    """One runner.  `run` answers a request and returns whether to keep on."""

    def __init__(self, store, record, name, service, zone, run, *, slots=8,
                 receive_bytes=0):
        self.store, self.record, self.run = store, record, run
        self.name, self.service, self.zone = name, service, zone
        self.slots = slots
        self.receive_bytes = receive_bytes
        self.state = 'ready'
        self.sequence = 0
        self.writers = set()
        self.is_down = False

    async def start(self, host, port=0):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                            self.receive_bytes)
        sock.bind((host, port))
        limit = 2 ** 16 if not self.receive_bytes else self.receive_bytes
        self.server = await asyncio.start_server(
            self._serve, sock=sock, limit=limit)
        self.host, self.port = sock.getsockname()
        self.address = f'{self.host}:{self.port}'
        self.beating = asyncio.create_task(self._beat())

    async def crash(self, name, for_s):
        """End at once; start again after `for_s` under the id `name`.

        The store removes the record after three heartbeats of silence.
        """
        self.record.write('runner-down', runner=self.name)
        self.is_down = True
        self.beating.cancel()
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        old, ended = self.name, time.monotonic()
        await asyncio.sleep(min(for_s, 3 * HEARTBEAT_S))
        if for_s >= 3 * HEARTBEAT_S:
            self.store.put('keyed.servers', old, b'')
            await asyncio.sleep(ended + for_s - time.monotonic())
        self.name, self.sequence, self.is_down = name, 0, False
        await self.start(self.host, self.port)
        self.record.write('runner-up', runner=name)

    def announce(self):
        self.sequence += 1
        self.store.put('keyed.servers', self.name, json.dumps({
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'coldLeftMs': 0, 'sequence': self.sequence,
        }).encode())

    async def _beat(self):
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        if self.is_down:
            # Accepted in the moment of the crash.
            writer.transport.abort()
        try:
            while head := await read_head(reader):
                if not await self._answer(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as exc:
            self.record.write('runner-broken', runner=self.name,
                              why=type(exc).__name__)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, head, reader, writer):
        first, headers = head
        if first.startswith('GET /report '):
            report = {'phase': 'colocated', 'modelList': [], 'busy': False,
                      'sequence': 0, 'waiting': 0, 'running': 0, 'kvUsed': 0,
                      'kvTotal': 0, 'handles': 0}
            writer.write(_json(200, report))
            return True
        if first.startswith('GET /health '):
            writer.write(make_answer(
                200, [('Trestledock-Instance-Id', self.name)]))
            return True
        expected = headers.get('trestledock-expect-instance', self.name)
        if expected != self.name:
            await reader.readexactly(int(headers.get('content-length', 0)))
            writer.write(make_answer(
                421, [('Trestledock-Instance-Id', self.name)]))
            return True
        return await self.run(self, first, headers, reader, writer)


# --- the entries -----------------------------------------------------------

def is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def find_range(host):
    """Return the first of 16 ports that are free for TCP and UDP."""
    while True:
        first = _rng.randrange(20000, 40000)
        if all(is_free(host, first + step) for step in range(16)):
            return first


class Entry:
    """One process of the deploy file's role, on an address of its own."""

    def __init__(self, bed, name, host, zone):
        self.bed, self.name, self.host, self.zone = bed, name, host, zone
        self.ports = None
        self.process = None

    def write_settings(self):
        base = find_range(self.host)
        front, ready, control = (base + 13, base + 14, base + 15)
        self.front = (self.host, front)
        self.ready = (self.host, ready)
        self.path = self.bed.folder / f'{self.name}.toml'
        bounds = '\n'.join(f'{key} = {json.dumps(value)}'
                           for key, value in self.bed.bounds.items())
        zones = '\n'.join(f'{zone} = "region-1"' for zone in self.bed.zones)
        self.path.write_text(f'''
nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ipAddr = "{self.host}"
zone = "{self.zone}"
region = "region-1"
portRange = [{base},{base + 12}]
seedAddrs = []
bootstrap = true
countsAsLoss = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
{zones}
[listen]
front = "{self.host}:{front}"
ready = "{self.host}:{ready}"
control = "{self.host}:{control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{self.bed.store.address}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 20
partMb = 200
ttlMinMs = 1000
''')

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
               if name in os.environ}
        env['TRESTLEDOCK_BOOT'] = str(self.path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        self.log = open(self.bed.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL)

    def signal(self, signum):
        self.bed.record.write('signal', entry=self.name,
                              signal=signal.Signals(signum).name)
        self.process.send_signal(signum)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: r\r\n\r\n')
            head = await read_head(reader)
            return bool(head) and ' 200 ' in head[0]
        except OSError:
            return False
        finally:
            writer.close()

    async def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.1)


BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'gracePeriodS': 8, 'lossSlackMs': 200,
    'configMs': 2000, 'rollbackSlackMs': 250, 'outerMs': 5000,
    'strictRevoke': True, 'revokeMs': 5000, 'retryRatio': 0.2,
    'budgetWindowS': 10, 'budgetSlack': 100, 'recoverS': 12, 'passMs': 120,
    'retryAfterS': 0, 'stall_ms': 1500, 'holdMaxMs': 20000, 'freeMs': 4000,
    'idleMaxMs': 9000,
}


class Bed:
    """All parts of one run."""

    def __init__(self, record, zones=('zone-a', 'zone-b')):
        self.record = record
        self.zones = zones
        self.bounds = dict(BOUNDS)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.net = f'127.{_rng.randrange(20, 250)}.{_rng.randrange(1, 250)}'
        self.entries = []
        self.runners = []
        self.hosts = iter(range(10, 250))

    def next_host(self):
        return f'{self.net}.{next(self.hosts)}'

    async def start_store(self):
        self.store = Store(self.record)
        await self.store.start(self.next_host())

    async def add_runner(self, name, service, run, **options):
        zone = self.zones[len(self.runners) % len(self.zones)]
        runner = Runner(self.store, self.record, name, service, zone, run,
                        **options)
        self.runners.append(runner)
        await runner.start(self.next_host())
        return runner

    async def add_entry(self, name):
        zone = self.zones[len(self.entries) % len(self.zones)]
        entry = Entry(self, name, self.next_host(), zone)
        self.entries.append(entry)
        entry.write_settings()
        await entry.start()
        return entry

    def configure(self, version, routes, services, tenants):
        self.store.put('keyed.op', 'config', json.dumps({
            'version': version, 'routes': routes, 'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
            'tenants': tenants,
        }).encode())

    async def end(self):
        for entry in self.entries:
            if entry.process and entry.process.returncode is None:
                entry.process.kill()
            if entry.process:
                await entry.process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder, limit_s=110):
    """Run `case(bed)`, which returns whether the rule was broken."""
    if not (ROOT / 'target/deps').is_dir():
        print('build deploy/system.toml first')
        sys.exit(2)
    record = Record(Path(folder) / 'record.txt')

    async def play():
        bed = Bed(record)
        try:
            async with asyncio.timeout(limit_s):
                return await case(bed)
        finally:
            await bed.end()

    try:
        broken = asyncio.run(play())
    except Exception as exc:
        record.write('cannot-run', why=repr(exc))
        traceback.print_exc()
        sys.exit(2)
    record.write('verdict', broken=broken, trouble=TROUBLE)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
