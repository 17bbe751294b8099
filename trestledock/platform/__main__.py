"""
Entry point on the platform
===========================

Runs an entry as `python -m trestledock.platform`, without the imports of the
other commands.
"""

from trestledock.platform import run

if __name__ == '__main__':
    run()
