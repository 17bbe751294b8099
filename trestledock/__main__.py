"""
Entry point
===========

Runs the command line as `python -m trestledock` and from the zip application.
"""

from trestledock.cli import main

if __name__ == '__main__':
    main(prog_name='trestledock')
