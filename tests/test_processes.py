"""End-to-end tests with processes that run the packaged binary."""

import json
import signal
import threading
import unittest

import httpx

from tests.processes import TIMEOUT_S, ROOT, Processes, wait_for

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
        timeout=TIMEOUT_S,
    ) as response:
        for line in response.iter_lines():
            if line.startswith('data: {'):
                events.append(json.loads(line.removeprefix('data: ')))
    return events


class EndToEnd(unittest.TestCase):
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
            timeout=TIMEOUT_S,
        )

    def complete(self, number=0, **changes):
        return httpx.post(
            f'{self.processes.urls[number]}/v1/completions',
            json={**BODY, **changes},
            headers=TEAM,
            timeout=TIMEOUT_S,
        )

    def test_a_published_to_all_instances(self):
        self.assertEqual(self.verdict['verdict'], 'accepted')
        for url in self.processes.urls:
            response = httpx.get(f'{url}/admin/configuration')
            version = int(response.headers['trestledock-version'])
            self.assertEqual(version, self.verdict['version'])

    def test_b_every_token_in_order(self):
        events = stream(self.processes.urls[1])
        indices = [event['index'] for event in events if 'index' in event]
        self.assertEqual(indices, list(range(BODY['max_tokens'])))
        self.assertEqual(events[-1]['outcome'], 'answered')
        complete = self.complete(2).json()
        streamed = ''.join(event.get('text', '') for event in events)
        self.assertEqual(complete['text'], streamed)

    def test_c_broken_stream_is_resumed(self):
        for url in self.processes.engines:
            httpx.post(f'{url}/control', json={'cut_streams': 1})
        events = stream(self.processes.urls[0])
        indices = [event['index'] for event in events if 'index' in event]
        self.assertEqual(indices, list(range(BODY['max_tokens'])))

    def test_c_stream_continues_on_another_engine(self):
        expected = self.complete(2).json()['text']
        for url in self.processes.engines:
            httpx.post(f'{url}/control', json={'cut_streams': 2})
        events = stream(self.processes.urls[0])
        streamed = ''.join(event.get('text', '') for event in events)
        self.assertEqual(streamed, expected)
        for url in self.processes.engines:
            httpx.post(f'{url}/control', json={'cut_streams': 0})

    def test_d_one_key_runs_once_through_all_instances(self):
        responses = [self.call(number % 3, 'k1') for number in range(5)]
        self.assertEqual(
            {response.status_code for response in responses}, {200}
        )
        self.assertEqual(len({response.text for response in responses}), 1)
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
            response = self.complete(**changes)
            self.assertEqual(response.status_code, status, response.text[:200])
            self.assertEqual(response.json()['reason'], reason)
            self.assertEqual(response.json()['type'], 'not_run')

    def test_e_bad_headers(self):
        cases = (
            ({'trestledock-team': 'nobody'}, 403, 'unknown_team'),
            ({**TEAM, 'trestledock-deadline-ms': 'soon'}, 400, 'bad_request'),
            ({**TEAM, 'trestledock-deadline-ms': '0'}, 400, 'bad_request'),
            ({**TEAM, 'trestledock-home': 'moon'}, 400, 'bad_request'),
            ({}, 400, 'bad_request'),
        )
        for headers, status, reason in cases:
            response = httpx.post(
                f'{self.processes.urls[0]}/v1/completions',
                json=BODY,
                headers=headers,
            )
            self.assertEqual(response.status_code, status, response.text)
            self.assertEqual(response.json()['reason'], reason)

    def test_f_immediate_refusal_with_retry_after(self):
        response = httpx.post(
            f'{self.processes.urls[0]}/v1/completions',
            json={**BODY, 'prompt': 'word' * 200_000},
            headers={**TEAM, 'trestledock-deadline-ms': '3000'},
            timeout=TIMEOUT_S,
        )
        self.assertEqual(response.json()['reason'], 'deadline_unreachable')
        self.assertGreater(int(response.headers['retry-after']), 0)

    def test_f_giant_over_two_engines(self):
        response = self.complete(prompt='word' * 640_000, max_tokens=5)
        self.assertEqual(response.status_code, 200, response.text[:200])
        self.assertEqual(response.json()['tokens'], 5)

    def test_g_metrics_count_refusals(self):
        text = httpx.get(f'{self.processes.urls[0]}/metrics').text
        self.assertIn('trestledock_refused_total{reason="', text)
        self.assertIn('trestledock_ttft_seconds_bucket{', text)

    def test_h_invalid_configuration_is_not_published(self):
        response = httpx.post(
            f'{self.processes.urls[0]}/admin/publish',
            content=b'teams: [{nam: x}]',
            timeout=TIMEOUT_S,
        )
        self.assertEqual(response.json()['verdict'], 'conflict')
        self.assertIn('nearest known: name', response.json()['detail'])

    def test_i_bad_peer_message(self):
        url = f'{self.processes.urls[0]}/peer/v1/messages'
        for body in (b'', b'{}', b'{"type": "Heartbeat", "payload": {}}'):
            self.assertEqual(httpx.post(url, content=body).status_code, 400)

    def test_x_graceful_shutdown_cuts_nothing(self):
        events = []
        url = self.processes.urls[0]
        caller = threading.Thread(
            target=lambda: events.extend(stream(url, max_tokens=100)),
        )
        caller.start()
        wait_for(
            lambda: any(self.processes.get_used_tokens()), 'a running stream'
        )
        child = self.processes.instances[0]
        child.send_signal(signal.SIGTERM)
        child.send_signal(signal.SIGTERM)
        caller.join()
        self.assertEqual(events[-1]['outcome'], 'answered')
        self.assertEqual(child.wait(TIMEOUT_S), 0)

    def test_y_killed_with_a_caller(self):
        url = self.processes.urls[1]
        results = []

        def call():
            try:
                results.append(stream(url, max_tokens=200))
            except httpx.HTTPError as exc:
                results.append(exc)

        caller = threading.Thread(target=call)
        caller.start()
        wait_for(
            lambda: any(self.processes.get_used_tokens()), 'a running stream'
        )
        self.processes.kill(1)
        caller.join(TIMEOUT_S)
        self.assertEqual(len(results), 1)

    def test_z_engines_are_free_in_the_end(self):
        wait_for(
            lambda: self.processes.get_used_tokens() == [0, 0],
            f'free engines in {ROOT.name}',
        )
