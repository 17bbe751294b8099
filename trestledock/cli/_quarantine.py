"""
Quarantine commands
===================

`quarantine show` lists what goes to no target, since it crashes those that run
it; `quarantine release` lets it go to targets again.
"""

import sys
from types import ModuleType
from typing import Any, Awaitable, Callable

import anyio
import click

from trestledock.cli._files import fail

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
    for line in _run(_load_operator().show_quarantine, store):
        click.echo(line)


@quarantine.command('release')
@click.argument('name')
@store_option
def release_name(name: str, store: str) -> None:
    """Clear NAME of its crashes, for example part:5c1e07a2."""
    if not _run(_load_operator().release, store, name):
        click.echo(f'{name} is not quarantined', err=True)
        sys.exit(1)
    click.echo(f'{name}: released')


def _load_operator() -> ModuleType:
    """Import the adapter, which replaces the server of all other commands."""
    from trestledock.platform import operator  # noqa: WPS433

    return operator


def _run(action: Callable[..., Awaitable[Any]], store: str, *args: str) -> Any:
    try:
        return anyio.run(action, store, *args)
    except _load_operator().READ_ERRORS as exc:
        fail((f'{store}: {exc!r}',))
