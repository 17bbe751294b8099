"""
Operator commands
=================

`check` reads files without sending them anywhere; `publish`, `show` and
`drain` talk to a running instance.
"""

import sys
from pathlib import Path
from typing import Any

import click
import httpx
import yaml

from trestledock.cli._files import (
    fail,
    read_configuration,
    read_settings,
)

PUBLISH_TIMEOUT_S = 30.0
UNKNOWN_EXIT = 3

instance_option = click.option(
    '--instance',
    required=True,
    help='URL of an entry instance.',
)


@click.command()
@click.argument('path')
@click.option('--settings', is_flag=True, help='The file holds settings.')
def check(path: str, settings: bool) -> None:
    """Check a configuration (or settings) file; every error with its path."""
    if settings:
        read_settings(path)
    else:
        read_configuration(path)
    click.echo(f'{path}: ok')


@click.command()
@click.argument('path')
@instance_option
@click.option('--base', default=-1, help='The version that this one replaces.')
@click.option('--id', 'publish_id', default='', help='Ask again by this id.')
def publish(path: str, instance: str, base: int, publish_id: str) -> None:
    """Publish a configuration; says accepted only when it is."""
    read_configuration(path)
    params = {'base': str(base)}
    if publish_id:
        params['id'] = publish_id
    answer = _ask(
        'POST',
        f'{instance}/admin/publish',
        params=params,
        content=Path(path).read_bytes(),
        timeout=PUBLISH_TIMEOUT_S,
    ).json()
    click.echo(yaml.safe_dump(answer, sort_keys=False).strip())
    exits = {'accepted': 0, 'conflict': 1}
    sys.exit(exits.get(answer.get('verdict', ''), UNKNOWN_EXIT))


@click.group()
def show() -> None:
    """Show what is in force and why work would be placed where."""


@show.command()
@instance_option
def version(instance: str) -> None:
    """Show the configuration in force."""
    answer = _ask('GET', f'{instance}/admin/configuration')
    if answer.is_success:
        click.echo(f'# version {answer.headers["trestledock-version"]}')
    click.echo(answer.text)


@show.command()
@instance_option
def fleet(instance: str) -> None:
    """Show targets and peers as the instance sees them."""
    answer = _ask('GET', f'{instance}/admin/fleet').json()
    click.echo(yaml.safe_dump(answer, sort_keys=False).strip())


@show.command()
@instance_option
@click.option('--team', required=True)
@click.option('--model', default='', help='name:adapter:version')
@click.option('--service', default='')
@click.option('--tokens', default=1000)
def decision(
    instance: str,
    team: str,
    model: str,
    service: str,
    tokens: int,
) -> None:
    """Show why a request would be placed where."""
    name, adapter, number = (*model.split(':'), '', '')[:3]
    params = {
        'team': team,
        'model': name,
        'adapter': adapter,
        'version': number,
        'service': service,
        'tokens': str(tokens),
    }
    answer = _ask('GET', f'{instance}/admin/explain', params=params).json()
    for line in answer['lines']:
        click.echo(line)


@click.command()
@click.argument('target')
@instance_option
def drain(target: str, instance: str) -> None:
    """Mark a target as leaving: it gets no new work."""
    answer = _ask(
        'POST',
        f'{instance}/admin/drain',
        json={'target': target},
    )
    click.echo(answer.text)
    sys.exit(0 if answer.is_success else 1)


def _ask(method: str, url: str, **options: Any) -> httpx.Response:
    try:
        return httpx.request(method, url, **options)
    except httpx.HTTPError as exc:
        fail((f'{url}: {exc!r}',))
