"""
Main command
============

Ties the commands together.
"""

import click

from trestledock import VERSION
from trestledock.cli._operator import check, drain, publish, show
from trestledock.cli._serve import serve, standin


@click.group()
@click.version_option(VERSION, prog_name='trestledock')
def main() -> None:
    """Serve prompts of very unlike lengths from one fleet."""


for _command in (serve, check, publish, show, drain, standin):
    main.add_command(_command)
