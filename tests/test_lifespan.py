"""Applications decline the lifespan protocol and serve everything else."""

import unittest

import anyio

from trestledock.connection._lifespan import WithoutLifespan


class LifespanTest(unittest.TestCase):
    """What reaches the application."""

    def test_only_requests(self):
        """A lifespan ends at once, a request is served."""
        seen = []

        async def app(scope, receive, send):
            seen.append(scope['type'])

        async def main():
            wrapped = WithoutLifespan(app)
            await wrapped({'type': 'lifespan'}, None, None)
            await wrapped({'type': 'http'}, None, None)

        anyio.run(main)
        self.assertEqual(seen, ['http'])
