"""What a start imports: each module is paid by every process at every start.

A roll or a kill of 195 entries starts them all once more, and imports were a
third of an entry's processor time on a short day.
"""

import subprocess
import sys
import unittest

#: Packages that an entry may load while it starts, beside the standard library.
ALLOWED = frozenset(
    (
        'anyio',
        'h11',
        # The web server loads its other protocols, too.
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
#: Our own packages and modules, of which the others belong to other commands;
#: the clock is the event loop's, so an entry needs it from its first step.
OWN = frozenset(('clock', 'entry', 'platform', 'relay'))
#: Modules of the standard library that cost much and serve nothing here.
DEAR = frozenset(
    ('http.server', 'xml', 'unittest', 'sqlite3', 'urllib.request')
)
SCRIPT = 'import sys, trestledock.platform._run; print(*sys.modules)'


def get_modules():
    """Return the names of the modules that a start has loaded."""
    command = (sys.executable, '-c', SCRIPT)
    done = subprocess.run(command, check=True, capture_output=True, text=True)
    return done.stdout.split()


class StartTest(unittest.TestCase):
    """The imports of an entry on the platform."""

    @classmethod
    def setUpClass(cls):
        cls.names = get_modules()

    def test_packages(self):
        """No library is loaded that is not needed from the beginning."""
        found = {name.partition('.')[0] for name in self.names}
        third = {
            name
            for name in found - sys.stdlib_module_names
            if not name.startswith(('_', 'sitecustomize', 'distutils'))
        }
        self.assertLessEqual(third, ALLOWED)

    def test_own_packages(self):
        """Nothing of other commands is loaded."""
        found = {
            name.split('.')[1]
            for name in self.names
            if name.startswith('trestledock.')
        }
        self.assertEqual(found, OWN)

    def test_dear_modules(self):
        """Nor what a library loads for a part that is not used."""
        self.assertEqual(DEAR & set(self.names), set())
