"""
Quarantine commands
===================

`quarantine show` lists what goes to no target, since it crashes those that run
it; `quarantine release` lets it go to targets again.
"""

import sys
from typing import Awaitable, Callable, TypeVar

import anyio
import click

from trestledock.cli._files import fail
from trestledock.entry import DirectoryError, WireError
from trestledock.platform.operator import read_quarantine, release
from trestledock.relay import QuarantineRecord

#: The exceptions of a store that is not reached or not understood.
READ_ERRORS = (OSError, DirectoryError, WireError, ValueError)
Found = TypeVar('Found')

store_option = click.option(
    '--store', required=True, help="HOST:PORT of the platform's store."
)


@click.group()
def quarantine() -> None:
    """Show or release requests and parts of prompts that crash targets."""


@quarantine.command('show')
@store_option
def show_quarantine(store: str) -> None:
    """Print each quarantined name with its crashes and probes."""
    for record in _run(read_quarantine, store):
        click.echo(_format(record))


@quarantine.command('release')
@click.argument('name')
@store_option
def release_name(name: str, store: str) -> None:
    """Clear NAME of its crashes, for example part:5c1e07a2."""
    if not _run(release, store, name):
        click.echo(f'{name} is not quarantined', err=True)
        sys.exit(1)
    click.echo(f'{name}: released')


def _format(record: QuarantineRecord) -> str:
    count = len(record.incarnations)
    return (
        f'{record.name}: {count} crashes, the last one or a probe '
        f'{record.age_s:.0f} s ago, {record.probes} probes'
    )


def _run(
    action: Callable[..., Awaitable[Found]], store: str, *args: str
) -> Found:
    try:
        return anyio.run(action, store, *args)
    except READ_ERRORS as exc:
        fail((f'{store}: {exc!r}',))
