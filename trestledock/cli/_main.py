"""
Main command
============

The command group that contains all other commands.
"""

import click

from trestledock import VERSION
from trestledock.cli._entry import entry
from trestledock.cli._explain import explain
from trestledock.cli._losses import losses
from trestledock.cli._operator import check, drain, publish, show
from trestledock.cli._quarantine import quarantine
from trestledock.cli._serve import serve, standin
from trestledock.demo import demo


@click.group()
@click.version_option(VERSION, prog_name='trestledock')
def main() -> None:
    """Serve prompts of widely differing lengths from one fleet."""


COMMANDS = (
    serve,
    entry,
    check,
    publish,
    show,
    drain,
    explain,
    losses,
    quarantine,
    standin,
    demo,
)

for _command in COMMANDS:
    main.add_command(_command)
