"""The lifespan protocol is declined, and HTTP requests are served."""

import unittest

import anyio

from trestledock.connection._lifespan import WithoutLifespan


class LifespanTest(unittest.TestCase):
    """Scopes that reach the application."""

    def test_only_requests(self):
        """A lifespan scope ends at once; a request is served."""
        seen = []

        async def app(scope, receive, send):
            seen.append(scope['type'])

        async def main():
            wrapped = WithoutLifespan(app)
            await wrapped({'type': 'lifespan'}, None, None)
            await wrapped({'type': 'http'}, None, None)

        anyio.run(main)
        self.assertEqual(seen, ['http'])
