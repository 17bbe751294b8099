"""
Stand-ins for the review
========================

A store, runners, clients and the processes of the entries, all on loopback
addresses and the real clock. They speak what the users' pages say, as far as
the cases need it. Only the standard library is used.
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
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OFFSETS = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
REASONS = {200: 'OK', 403: 'Forbidden', 409: 'Conflict', 410: 'Gone',
           412: 'Precondition Failed', 421: 'Misdirected Request',
           500: 'Internal Server Error', 503: 'Service Unavailable'}
HEARTBEAT_S = 1.2
READY_S = 1.0


def choose_network():
    """Return the first three numbers of a loopback network for this run."""
    rng = random.SystemRandom()
    return f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'


def free_ports(host, count):
    """Return unused ports of a loopback address."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def is_free(host, port):
    """Return whether a port is unused for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def find_free_range(host):
    """Return the first of 16 ports that are unused for TCP and UDP."""
    while True:
        first = random.SystemRandom().randrange(20000, 40000)
        if all(is_free(host, first + step) for step in range(16)):
            return first


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.began = time.monotonic()

    def write(self, what, **fields):
        at = time.monotonic() - self.began
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self.file.write(f'{at:8.3f} {what} {text}\n')

    def close(self):
        self.file.close()


# --- HTTP ---------------------------------------------------------------

async def read_message(reader):
    """Return the first line, the headers and the body, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return lines[0], headers, body


def make_head(status, headers):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def make_answer(status, headers=(), body=b''):
    return make_head(status, (*headers, ('Content-Length', len(body)))) + body


REPORT = json.dumps({
    'phase': 'colocated', 'modelList': [], 'busy': False, 'sequence': 0,
    'waiting': 0, 'running': 0, 'kvUsed': 0, 'kvTotal': 0, 'handles': 0,
}).encode()


def answer_control(line, name):
    """Return a runner's answer to `GET /report`, which runs nothing, or None.

    No other control request is sent to the runners of these cases.
    """
    if line.startswith('GET /report '):
        return make_answer(200, [('Content-Type', 'application/json')], REPORT)
    return None


# --- the platform's store -----------------------------------------------

class Topic:
    """The records of partition 0 of one topic."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def put(self, key, text):
        offset = len(self.records)
        self.records.append((key, text))
        if text:
            self.newest[key] = (offset, text)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store; it answers within some milliseconds."""

    def __init__(self, record):
        self.record = record
        self.topics = defaultdict(Topic)
        self.address = ''

    async def start(self, host):
        server = await asyncio.start_server(self.serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self.server = server

    def put(self, topic, key, plain):
        """Write as the operator or a runner does; return the offset."""
        text = b'' if plain is None else json.dumps(plain).encode()
        self.topics[topic].put(key, text)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(' ')
                path, _, query = target.partition('?')
                fields = dict(urllib.parse.parse_qsl(query))
                status, body = await self.answer(path, fields, message[2])
                await asyncio.sleep(0.004)
                writer.write(make_answer(status, (), body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, fields, body):
        name = fields.get('topic', '')
        topic = self.topics[name]
        end = len(topic.records)
        if path == '/log-read':
            start = int(fields['from'])
            if start > end:
                return 410, json.dumps({'firstOffset': 0}).encode()
            if start == end and fields.get('waitMs'):
                try:
                    wait_s = int(fields['waitMs']) / 1000
                    await asyncio.wait_for(topic.changed.wait(), wait_s)
                except asyncio.TimeoutError:
                    pass
            parts = [OFFSETS.pack(len(topic.records), 0)]
            room = int(fields.get('maxKb', 1024)) * 1024
            for key, text in topic.records[start:]:
                raw = bytes((len(key),)) + key.encode() + text
                room -= len(raw) + 4
                if room < 0:
                    break
                parts.append(LENGTH.pack(len(raw)) + raw)
            return 200, b''.join(parts)
        if path == '/log-newest':
            after = fields.get('startAfter', '')
            keys = sorted(key for key in topic.newest if key > after)
            items = [
                {'key': key, 'offset': topic.newest[key][0],
                 'value': base64.b64encode(topic.newest[key][1]).decode()}
                for key in keys[:500]
            ]
            return 200, json.dumps({'items': items, 'hasMore': len(keys) > 500,
                                    'endOffset': end}).encode()
        if path == '/log-append':
            if name in ('keyed.op', 'keyed.servers'):
                return 403, b''
            expected = int(fields.get('expectedEnd', end))
            if expected != end:
                return 412, json.dumps({'endOffset': end}).encode()
            while body:
                size = LENGTH.unpack_from(body)[0]
                raw, body = body[4:4 + size], body[4 + size:]
                key_end = 1 + raw[0]
                topic.put(raw[1:key_end].decode(), raw[key_end:])
            return 200, json.dumps(
                {'offset': end, 'endOffset': len(topic.records)}).encode()
        return 404, b''


# --- entries --------------------------------------------------------------

SETTINGS = '''
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ipAddr = "{host}"
zone = "{zone}"
region = "altbayern"
portRange = [{first}, {last}]
seedAddrs = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
halle-landshut = "altbayern"
halle-passau = "altbayern"
halle-freising = "altbayern"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
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
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
budgetWindowS = 10
budgetSlack = 100
recoverS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
holdMaxMs = 20000
freeMs = 4000
idleMaxMs = 9000
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
'''


class Entry:
    """One entry, started with the command of the deploy file."""

    def __init__(self, name, host, zone, store, folder):
        self.name, self.host, self.zone = name, host, zone
        self.folder = Path(folder)
        self.ports = free_ports(host, 3)
        first = find_free_range(host)
        self.path = self.folder / f'{name}.toml'
        self.path.write_text(SETTINGS.format(
            name=name, host=host, zone=zone, store=store, first=first,
            last=first + 15, front=self.ports[0], ready=self.ports[1],
            control=self.ports[2]))
        self.child = None
        self.misses = 2

    def start(self):
        env = {'PATH': os.environ.get('PATH', ''),
               'HOME': os.environ.get('HOME', ''),
               'PYTHONPATH': str(ROOT / 'target' / 'deps'),
               'PYTHONDONTWRITEBYTECODE': '1',
               'TRESTLEDOCK_BOOT': str(self.path)}
        log = open(self.folder / f'{self.name}.log', 'ab')
        self.child = subprocess.Popen(
            ['python3', '-m', 'trestledock.platform'], cwd=ROOT, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def is_ready(self):
        """Ask as the platform does, once."""
        try:
            with socket.create_connection(
                    (self.host, self.ports[1]), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                return sock.recv(100).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    async def wait_ready(self, timeout_s=15):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await asyncio.to_thread(self.is_ready):
                return True
            await asyncio.sleep(0.2)
        return False

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


# --- clients --------------------------------------------------------------

class Answer:
    """What a client got; `status` is 0 without a head of an answer."""

    def __init__(self, status=0, headers=None, body=b'', whole=False, why=''):
        self.status, self.headers = status, headers or {}
        self.body, self.whole, self.why = body, whole, why


async def ask(entry, method, path, headers, body=b'', timeout_s=10.0):
    """Send one request on a new connection; return the `Answer`."""
    try:
        return await asyncio.wait_for(
            _ask(entry, method, path, headers, body), timeout_s)
    except asyncio.TimeoutError:
        return Answer(why='timeout')


async def _ask(entry, method, path, headers, body):
    try:
        reader, writer = await asyncio.open_connection(
            entry.host, entry.ports[0])
    except OSError as exc:
        return Answer(why=repr(exc))
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers]
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    got = Answer()
    try:
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        raw = await reader.readuntil(b'\r\n\r\n')
        rows = raw.decode('latin-1').split('\r\n')
        got.status = int(rows[0].split(' ')[1])
        got.headers = {
            row.partition(':')[0].lower(): row.partition(':')[2].strip()
            for row in rows[1:] if row}
        if got.headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                got.body += part[:-2]
        elif 'content-length' in got.headers:
            size = int(got.headers['content-length'])
            got.body = await reader.readexactly(size)
        else:
            while part := await reader.read(65536):
                got.body += part
        got.whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError,
            OSError) as exc:
        got.why = repr(exc)
    finally:
        writer.close()
    return got


def copy_log_lines(record, folder, words, limit=200):
    """Copy the entries' log lines with one of some words into the record."""
    for path in sorted(Path(folder).glob('*.log')):
        for line in path.read_text(errors='replace').splitlines():
            if any(word in line for word in words) and limit:
                limit -= 1
                record.write('log', entry=path.stem, line=line)


def run(main, where):
    """Run a case; return its exit status, 2 if it could not run."""
    record = Record(Path(where) / 'record.txt')
    folder = tempfile.mkdtemp(prefix='trestledock-review-')

    async def run_main():
        task = asyncio.current_task()
        for signum in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        return await main(record, folder)

    try:
        return asyncio.run(run_main())
    except BaseException as exc:
        traceback.print_exc()
        record.write('failed', error=repr(exc))
        return 2
    finally:
        record.close()
        if os.environ.get('KEEP_LOGS'):
            print(f'logs in {folder}')
        else:
            shutil.rmtree(folder, ignore_errors=True)
