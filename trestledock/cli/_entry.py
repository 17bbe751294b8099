"""
Entry command
=============

`entry` runs an entry on the users' platform.  The path of its settings file is
in the environment variable `TRESTLEDOCK_BOOT`, which the platform sets.
"""

import click

from trestledock.platform import run


@click.command()
def entry() -> None:
    """Run an entry on the platform (settings file: TRESTLEDOCK_BOOT)."""
    run()
