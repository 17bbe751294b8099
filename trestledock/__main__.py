"""
Command-line entry point
========================

Runs the command line for `python -m trestledock` and for the zip application.
"""

from trestledock.cli import main

if __name__ == '__main__':
    main(prog_name='trestledock')
