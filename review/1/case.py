"""A second copy of a rejection stands for the answer of a later send."""

import asyncio
import os
import random
import sys
import time
import uuid
from collections import Counter, defaultdict
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import kit  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SECONDS = 75
#: Requests a second, and in bursts of the clients.
RATE, BURST_RATE, BURST_S = 90.0, 200.0, 3.0
#: Of a service's runners, and of their answers (site file, `troubles`).
GARBLED_RUNNERS, GARBLED_SHARE = 1, 0.03
PHASE_S, PAUSE_S = 5.0, 3.0
SLOTS, QUEUE = 6, 3
#: Runners of one service differ in speed (mean of the work, in seconds).
WORK_S = (0.06, 0.15, 0.15)
ZONES = ('halle-landshut', 'halle-passau', 'halle-freising')
ENTRY_ZONES = (*ZONES[:1] * 3, *ZONES[1:2] * 2, ZONES[2])


class Runner:
    """One runner of the booking service, which is often full."""

    def __init__(self, number, net, store, record, runs):
        name, host = f'i-{number}', f'{net}.{20 + number}'
        zone, self.work_s = ZONES[number], WORK_S[number]
        self.name, self.host, self.zone = name, host, zone
        self.store, self.record, self.runs = store, record, runs
        self.running = 0
        self.free = asyncio.Semaphore(SLOTS)
        self.answers = self.copies = 0
        self.is_garbled = False
        self.sequence = 0
        self.rng = random.Random(name)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{self.host}:{port}'
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put('keyed.servers', self.name, {
                'service': 'ladekasse', 'address': self.address,
                'zone': self.zone, 'version': 'v1', 'slots': SLOTS,
                'state': 'ready', 'coldLeftMs': 0,
                'sequence': self.sequence})
            await asyncio.sleep(kit.HEARTBEAT_S)

    async def serve(self, reader, writer):
        held = b''
        try:
            while True:
                message = await kit.read_message(reader)
                if message is None:
                    break
                # The second copy of the last answer arrives late, where the
                # next answer is expected.
                writer.write(held)
                held = b''
                raw, may_copy = await self.answer(*message)
                writer.write(raw)
                await writer.drain()
                self.answers += self.is_garbled
                allowed = self.copies + 1 <= self.answers * GARBLED_SHARE
                if may_copy and self.is_garbled and allowed:
                    self.copies += 1
                    held = raw
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body):
        if control := kit.answer_control(line, self.name):
            return control, False
        req_id = headers.get('trestledock-request-id', '')
        common = [('Trestledock-Request-Id', req_id),
                  ('Keep-Alive', 'timeout=5')]
        if headers.get('trestledock-expect-instance', self.name) != self.name:
            common.append(('Trestledock-Instance-Id', self.name))
            return kit.make_answer(421, common), False
        if self.running >= SLOTS + QUEUE:
            self.record.write('rejected', id=req_id, runner=self.name)
            common.append(('Trestledock-Not-Executed', '1'))
            return kit.make_answer(503, common), True
        self.running += 1
        try:
            async with self.free:
                self.runs[req_id].append(self.name)
                self.record.write('run', id=req_id, runner=self.name)
                await asyncio.sleep(self.rng.uniform(0.5, 1.5) * self.work_s)
        finally:
            self.running -= 1
        common.append(('Trestledock-Response-Seal', f'{self.name}.{req_id}'))
        return kit.make_answer(200, common, f'booked {req_id}'.encode()), False


async def send(entry, record, answers):
    req_id = uuid.uuid4().hex[:16]
    record.write('sent', id=req_id, entry=entry.name)
    got = await kit.ask(entry, 'POST', '/buchung/1', [
        ('Host', 'kasse.example'), ('Trestledock-Request-Id', req_id),
        ('Trestledock-Request-Deadline', '4000'),
        ('Authorization', 'Bearer key-1')], b'x' * 600, 6)
    answers[req_id] = got.status if got.whole else 0
    record.write('answered', id=req_id, status=got.status, whole=got.whole,
                 sealed='trestledock-response-seal' in got.headers)


async def trouble(runners, record):
    while True:
        for runner in runners[:GARBLED_RUNNERS]:
            runner.is_garbled = TROUBLE
        record.write('trouble', on=TROUBLE)
        await asyncio.sleep(PHASE_S)
        for runner in runners:
            runner.is_garbled = False
        record.write('trouble', on=False)
        await asyncio.sleep(PAUSE_S)


async def main(record, folder):
    net = kit.choose_network()
    store = kit.Store(record)
    runs, answers = defaultdict(list), {}
    await store.start(f'{net}.2')
    store.put('keyed.op', 'config', {
        'version': 7,
        'routes': [{
            'name': 'r-buchung', 'host': 'kasse.example',
            'pathPrefix': '/buchung/', 'kind': 'non_idempotent',
            'timeoutMs': 2000, 'sloMs': 300, 'priority': 2,
            'service': 'ladekasse', 'maxAttempts': 1, 'public': False}],
        'services': [{'name': 'ladekasse', 'healthPath': '/health',
                      'maxConns': 96, 'protocol': 'h1', 'tls': False}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        'tenants': [{'name': 'kiosks', 'apiKeys': ['key-1'], 'priority': 1}]})
    runners = [Runner(number, net, store, record, runs)
               for number in range(len(ZONES))]
    for runner in runners:
        await runner.start()
    entries = [kit.Entry(f'front-{number}', f'{net}.{40 + number}',
                         zone, store.address, folder)
               for number, zone in enumerate(ENTRY_ZONES)]
    tasks = set()
    try:
        for entry in entries:
            entry.start()
        if not all([await entry.wait_ready() for entry in entries]):
            print('an entry did not become ready')
            return 2
        await asyncio.sleep(2)
        tasks.add(asyncio.create_task(trouble(runners, record)))
        rng = random.Random(1)
        began = time.monotonic()
        due = began
        while due < began + SECONDS:
            await asyncio.sleep(max(0, due - time.monotonic()))
            in_burst = (due - began) % (PHASE_S + PAUSE_S) < BURST_S
            due += rng.expovariate(BURST_RATE if in_burst else RATE)
            one = asyncio.create_task(
                send(rng.choice(entries), record, answers))
            tasks.add(one)
        await asyncio.sleep(5)
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            entry.end()
    twice = {key for key, names in runs.items() if len(names) > 1}
    refused = {key for key, status in answers.items()
               if status in (408, 421, 429, 503) and runs.get(key)}
    copies = [f'{runner.copies} of {runner.answers}' for runner in runners]
    for key in sorted(twice):
        record.write('TWICE', id=key, runners=runs[key],
                     status=answers.get(key))
    for key in sorted(refused):
        record.write('REFUSED', id=key, runners=runs[key],
                     status=answers[key])
    kit.copy_log_lines(record, folder, twice | refused)
    text = (f'{len(answers)} requests, second copies after {copies} answers, '
            f'{len(twice)} requests run more than once, {len(refused)} refused '
            f'though they had run; answers {dict(Counter(answers.values()))}')
    record.write('result', text=text)
    print(text)
    return 1 if twice or refused else 0


if __name__ == '__main__':
    sys.exit(kit.run(main, HERE))
