"""
Entry command
=============

`entry` runs an entry on the users' platform, from the settings file that the
platform names in the environment.
"""

import click

from trestledock.platform import run


@click.command()
def entry() -> None:
    """Run an entry on the platform (settings: TRESTLEDOCK_BOOT)."""
    run()
