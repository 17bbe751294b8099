"""
Platform entry point
====================

Runs an entry for `python -m trestledock.platform`, without importing the other
commands.
"""

from trestledock.platform import run

if __name__ == '__main__':
    run()
