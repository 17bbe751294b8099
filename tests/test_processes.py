"""The whole path through real processes, from the one binary."""

import json
import signal
import threading
import unittest

import httpx

from tests.processes import PATIENCE_S, ROOT, Processes, wait_for

TEAM = {'trestledock-team': 'retail-assistant'}
KIOSK = {'trestledock-team': 'kiosks'}
BODY = {
    'prompt': 'balance of kiosk 17? ' * 40,
    'model': 'ledger-70b',
    'version': '3',
    'max_tokens': 30,
}


def stream(url, **changes):
    """Return the events of a streamed completion."""
    events = []
    with httpx.stream(
        'POST',
        f'{url}/v1/completions',
        json={**BODY, 'stream': True, **changes},
        headers=TEAM,
        timeout=PATIENCE_S,
    ) as answer:
        for line in answer.iter_lines():
            if line.startswith('data: {'):
                events.append(json.loads(line.removeprefix('data: ')))
    return events


class WholePath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.processes = Processes()
        cls.addClassCleanup(cls.processes.close)
        cls.verdict = cls.processes.publish()

    def call(self, number, key, **headers):
        return httpx.post(
            f'{self.processes.urls[number]}/call/booking/topup',
            json={'amount': 10},
            headers={**KIOSK, 'idempotency-key': key, **headers},
            timeout=PATIENCE_S,
        )

    def complete(self, number=0, **changes):
        return httpx.post(
            f'{self.processes.urls[number]}/v1/completions',
            json={**BODY, **changes},
            headers=TEAM,
            timeout=PATIENCE_S,
        )

    def test_a_published_everywhere(self):
        self.assertEqual(self.verdict['verdict'], 'accepted')
        for url in self.processes.urls:
            answer = httpx.get(f'{url}/admin/configuration')
            version = int(answer.headers['trestledock-version'])
            self.assertEqual(version, self.verdict['version'])

    def test_b_every_token_in_order(self):
        events = stream(self.processes.urls[1])
        indices = [one['index'] for one in events if 'index' in one]
        self.assertEqual(indices, list(range(BODY['max_tokens'])))
        self.assertEqual(events[-1]['outcome'], 'answered')
        whole = self.complete(2).json()
        streamed = ''.join(one.get('text', '') for one in events)
        self.assertEqual(whole['text'], streamed)

    def test_c_broken_stream_is_resumed(self):
        for url in self.processes.engines:
            httpx.post(f'{url}/control', json={'cut_streams': 1})
        events = stream(self.processes.urls[0])
        indices = [one['index'] for one in events if 'index' in one]
        self.assertEqual(indices, list(range(BODY['max_tokens'])))

    def test_c_stream_goes_on_elsewhere(self):
        wanted = self.complete(2).json()['text']
        for url in self.processes.engines:
            httpx.post(f'{url}/control', json={'cut_streams': 2})
        events = stream(self.processes.urls[0])
        streamed = ''.join(one.get('text', '') for one in events)
        self.assertEqual(streamed, wanted)
        for url in self.processes.engines:
            httpx.post(f'{url}/control', json={'cut_streams': 0})

    def test_d_one_key_runs_once_through_all_instances(self):
        answers = [self.call(number % 3, 'k1') for number in range(5)]
        self.assertEqual({one.status_code for one in answers}, {200})
        self.assertEqual(len({one.text for one in answers}), 1)
        runs = httpx.get(f'{self.processes.service}/runs').json()
        self.assertEqual(runs['k1'], 1)

    def test_e_clear_errors(self):
        cases = (
            ({'prompt': ''}, 400, 'bad_request'),
            ({'max_tokens': -1}, 400, 'bad_request'),
            ({'model': 'none'}, 404, 'unknown_model'),
            ({'prompt': 'x' * 17_000_000}, 413, 'bad_request'),
        )
        for changes, status, reason in cases:
            answer = self.complete(**changes)
            self.assertEqual(answer.status_code, status, answer.text[:200])
            self.assertEqual(answer.json()['reason'], reason)
            self.assertEqual(answer.json()['type'], 'not_run')

    def test_e_bad_headers(self):
        cases = (
            ({'trestledock-team': 'nobody'}, 403, 'unknown_team'),
            ({**TEAM, 'trestledock-deadline-ms': 'soon'}, 400, 'bad_request'),
            ({**TEAM, 'trestledock-deadline-ms': '0'}, 400, 'bad_request'),
            ({**TEAM, 'trestledock-home': 'moon'}, 400, 'bad_request'),
            ({}, 400, 'bad_request'),
        )
        for headers, status, reason in cases:
            answer = httpx.post(
                f'{self.processes.urls[0]}/v1/completions',
                json=BODY,
                headers=headers,
            )
            self.assertEqual(answer.status_code, status, answer.text)
            self.assertEqual(answer.json()['reason'], reason)

    def test_f_refused_at_once_with_retry_after(self):
        answer = httpx.post(
            f'{self.processes.urls[0]}/v1/completions',
            json={**BODY, 'prompt': 'word' * 200_000},
            headers={**TEAM, 'trestledock-deadline-ms': '3000'},
            timeout=PATIENCE_S,
        )
        self.assertEqual(answer.json()['reason'], 'deadline_unreachable')
        self.assertGreater(int(answer.headers['retry-after']), 0)

    def test_f_giant_over_two_engines(self):
        answer = self.complete(prompt='word' * 640_000, max_tokens=5)
        self.assertEqual(answer.status_code, 200, answer.text[:200])
        self.assertEqual(answer.json()['tokens'], 5)

    def test_g_metrics_count_refusals(self):
        text = httpx.get(f'{self.processes.urls[0]}/metrics').text
        self.assertIn('trestledock_refused_total{reason="', text)
        self.assertIn('trestledock_ttft_seconds_bucket{', text)

    def test_h_invalid_configuration_is_not_published(self):
        answer = httpx.post(
            f'{self.processes.urls[0]}/admin/publish',
            content=b'teams: [{nam: x}]',
            timeout=PATIENCE_S,
        )
        self.assertEqual(answer.json()['verdict'], 'conflict')
        self.assertIn('nearest known: name', answer.json()['detail'])

    def test_i_bad_peer_message(self):
        url = f'{self.processes.urls[0]}/peer/v1/messages'
        for body in (b'', b'{}', b'{"type": "Heartbeat", "payload": {}}'):
            self.assertEqual(httpx.post(url, content=body).status_code, 400)

    def test_x_graceful_end_cuts_nothing(self):
        found = []
        url = self.processes.urls[0]
        caller = threading.Thread(
            target=lambda: found.extend(stream(url, max_tokens=100)),
        )
        caller.start()
        wait_for(lambda: any(self.processes.get_used()), 'a running stream')
        child = self.processes.instances[0]
        child.send_signal(signal.SIGTERM)
        child.send_signal(signal.SIGTERM)
        caller.join()
        self.assertEqual(found[-1]['outcome'], 'answered')
        self.assertEqual(child.wait(PATIENCE_S), 0)

    def test_y_killed_under_a_caller(self):
        url = self.processes.urls[1]
        ends = []

        def call():
            try:
                ends.append(stream(url, max_tokens=200))
            except httpx.HTTPError as exc:
                ends.append(exc)

        caller = threading.Thread(target=call)
        caller.start()
        wait_for(lambda: any(self.processes.get_used()), 'a running stream')
        self.processes.kill(1)
        caller.join(PATIENCE_S)
        self.assertEqual(len(ends), 1)

    def test_z_engines_hold_nothing_in_the_end(self):
        wait_for(
            lambda: self.processes.get_used() == [0, 0],
            f'free engines in {ROOT.name}',
        )
