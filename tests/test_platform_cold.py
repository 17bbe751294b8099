"""How the platform says that targets are cold, and how many requests they take.

Guards against a bound that a wrong value lifts or sets, and against one wrong
value that costs a whole record, answer or version of the configuration.
"""

import unittest

from tests.test_platform_entries import GOOD, make_target_record
from trestledock.entry import ColdTime, Head
from trestledock.platform._documents import decode_catalog
from trestledock.platform._entries import decode_target
from trestledock.platform._headers import PlatformDialect
from trestledock.platform._settings import decode_settings
from trestledock.relay import ColdBounds, ColdService

#: Settings of a process without bounds.
PLAIN = {
    'nodeName': 'a',
    'zone': 'dc',
    'ipAddr': '127.0.0.1',
    'portRange': [1, 2],
    'listen': {'front': '127.0.0.1:3', 'ready': '127.0.0.1:4'},
    'platform': {'address': '127.0.0.1:5'},
}


class ColdPlatformTest(unittest.TestCase):
    """Records, headers, configurations and settings."""

    def test_records(self):
        """It is no part of the listed target; wrong types are tested there."""
        listed = decode_target('t1', make_target_record().value).listed
        known = ((1500, 1.5), (0, 0), (0.5, 0.0005), (-3, -0.003))
        for left_ms, left_s in known:
            raw = make_target_record(coldLeftMs=left_ms).value
            found = decode_target('t1', raw)
            self.assertEqual(found.cold, ColdTime(left_s), left_ms)
            self.assertEqual(found.listed, listed)
        raw = make_target_record(**GOOD).value
        self.assertEqual(decode_target('t1', raw).cold, ColdTime())

    def test_headers(self):
        known = {
            (): ColdTime(),
            ('1500',): ColdTime(1.5),
            ('0',): ColdTime(0),
            ('20', '1e3', '30'): ColdTime(0.03, "'1e3'"),
            ('-5',): ColdTime(None, "'-5'"),
        }
        for texts, cold in known.items():
            headers = [
                (b'Trestledock-Cold-Ms', text.encode()) for text in texts
            ]
            head = Head(200, tuple(headers))
            self.assertEqual(PlatformDialect().read_cold_time(head), cold)

    def test_services(self):
        known = {
            (17, 3): ColdService(17, 3),
            (0.5, 2.5): ColdService(0.5, 2.5),
            (17, None): None,
            (None, 3): None,
        }
        for (per_s, start_s), cold in known.items():
            self.assertEqual(self.decode(per_s, start_s), cold)
        for wrong in (0, -1, '17', True, [17], float('inf'), float('nan')):
            self.assertIsNone(self.decode(wrong, 3))
            self.assertIsNone(self.decode(17, wrong))

    def decode(self, per_s, start_s):
        row = {'name': 's', 'coldPerS': per_s, 'coldStartS': start_s}
        given = {name: one for name, one in row.items() if one is not None}
        document = {'version': 1, 'services': [given]}
        return decode_catalog(document).services['s'].cold

    def test_settings(self):
        """Only both together are a bound; a wrong type is refused."""
        known = {
            (1.5, 5): ColdBounds(1.5, 5),
            (1.5, None): None,
            (None, 5): None,
        }
        for (over, slack), expected in known.items():
            bounds = {'coldOver': over, 'coldSlack': slack}
            given = {name: one for name, one in bounds.items() if one}
            found = decode_settings({**PLAIN, 'bounds': given})
            self.assertEqual(found.cold_bounds, expected)
        wrong = {'coldOver': '1.5', 'coldSlack': 5}
        with self.assertRaises(ValueError):
            decode_settings({**PLAIN, 'bounds': wrong})
