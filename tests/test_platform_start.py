"""Modules imported at start: every process loads them at every start.

A rolling restart or a kill of 195 entries starts all of them again, and imports
took a third of an entry's CPU time in a short run.
"""

import subprocess
import sys
import unittest

#: Packages outside the standard library that an entry may import at start.
ALLOWED = frozenset(
    (
        'anyio',
        'h11',
        # The web server also imports its other protocols.
        'h2',
        'hpack',
        'hypercorn',
        'hyperframe',
        'priority',
        'pythonjsonlogger',
        'sniffio',
        'trestledock',
        'typing_extensions',
        'wsproto',
    )
)
#: The packages and modules of this project that an entry imports; others belong
#: to other commands.  The clock is used by the event loop from its first step.
OWN = frozenset(('clock', 'entry', 'platform', 'relay'))
#: Expensive modules of the standard library that an entry does not use.
EXPENSIVE = frozenset(
    ('http.server', 'xml', 'unittest', 'sqlite3', 'urllib.request')
)
SCRIPT = 'import sys, trestledock.platform._run; print(*sys.modules)'


def get_modules():
    """Return the names of all modules loaded at start."""
    command = (sys.executable, '-c', SCRIPT)
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return done.stdout.split()


class StartTest(unittest.TestCase):
    """Imports of an entry on the platform."""

    @classmethod
    def setUpClass(cls):
        cls.names = get_modules()

    def test_packages(self):
        """Only libraries that are needed at start are imported."""
        found = {name.partition('.')[0] for name in self.names}
        third_party = {
            name
            for name in found - sys.stdlib_module_names
            if not name.startswith(('_', 'sitecustomize', 'distutils'))
        }
        self.assertLessEqual(third_party, ALLOWED)

    def test_own_packages(self):
        """No modules of other commands are imported."""
        found = {
            name.split('.')[1]
            for name in self.names
            if name.startswith('trestledock.')
        }
        self.assertEqual(found, OWN)

    def test_expensive_modules(self):
        """Nor modules that libraries import for unused features."""
        self.assertEqual(EXPENSIVE & set(self.names), set())
