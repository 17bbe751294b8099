"""Quarantine of a request that crashes each service process that runs it.

The instances and the service are real processes.
"""

import unittest

import httpx

from tests.processes import TIMEOUT_S, Processes, wait_for

TEAM = {'trestledock-team': 'kiosks'}
MARKER = 'deadly'
MAX_CRASHES = 3
CALLS = 7


class RestartedService(Processes):
    """Processes with a plain service that is restarted under a new name."""

    def __init__(self):
        super().__init__()
        self.starts = 0

    def start_service(self):
        """Start the service and wait until every instance lists it."""
        name = f'booking-again-{self.starts}'
        self.starts += 1
        url = self.add_target('standin', 'service', 'booking', name)
        self.child = self.children[-1]
        wait_for(lambda: httpx.get(f'{url}/runs'), name)
        httpx.post(f'{url}/control', json={'crash_on': MARKER})
        for instance_url in self.urls:
            wait_for(
                lambda: self._is_listed(instance_url, name),
                f'{name} at {instance_url}',
            )

    def _is_listed(self, url, name):
        targets = httpx.get(f'{url}/admin/fleet').json()['targets']
        return name in {target['name'] for target in targets}


class CrashTest(unittest.TestCase):
    """Calls that crash their service, sent to each instance in turn."""

    def test_quarantined_after_three_crashes(self):
        """The request is quarantined once it has crashed three processes."""
        processes = RestartedService()
        self.addCleanup(processes.close)
        processes.publish()
        # Remove the first service, so that each call has a single target.
        initial_service = processes.children[3]
        initial_service.kill()
        initial_service.wait()
        httpx.delete(f'http://{processes.platform}/v1/instances/booking-0')
        processes.start_service()
        responses = [
            self._call_and_restart(processes, number) for number in range(CALLS)
        ]
        self.assertEqual(processes.starts - 1, MAX_CRASHES)
        last_problem = responses[-1].json()
        self.assertEqual(last_problem['reason'], 'quarantined')
        self.assertTrue(last_problem['type'].endswith('not_run'))
        self.assertGreater(float(responses[-1].headers['retry-after']), 5)

    def _call_and_restart(self, processes, number):
        """Send the marked call; restart the service if the call crashed it."""
        url = processes.urls[number % len(processes.urls)]
        response = httpx.post(
            f'{url}/call/booking/{MARKER}', headers=TEAM, timeout=TIMEOUT_S
        )
        if not response.json()['type'].endswith('not_run'):
            processes.child.wait(TIMEOUT_S)
            processes.start_service()
        return response
