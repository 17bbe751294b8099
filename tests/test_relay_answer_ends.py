"""What tells where an answer ends."""

import unittest

from trestledock.relay import Framing, get_framing


class FramingTest(unittest.TestCase):
    """What the request and the head of its answer say of the body's end."""

    #: Method, status, whether there is a length, chunks; the framing.
    cases = (
        ('POST', 200, True, False, Framing.length),
        ('POST', 200, False, True, Framing.chunks),
        ('POST', 200, True, True, Framing.chunks),
        ('GET', 200, False, False, Framing.close),
        ('GET', 502, False, False, Framing.close),
        ('HEAD', 200, False, False, Framing.empty),
        ('HEAD', 200, True, False, Framing.empty),
        ('HEAD', 200, False, True, Framing.empty),
        ('GET', 204, False, False, Framing.empty),
        ('GET', 304, True, False, Framing.empty),
    )

    def test_framings(self):
        """Chunks precede a length; some answers never have a body."""
        for method, status, has_length, is_chunked, expected in self.cases:
            with self.subTest(method=method, status=status):
                framing = get_framing(
                    method,
                    status,
                    has_length=has_length,
                    is_chunked=is_chunked,
                )
                self.assertIs(framing, expected)
