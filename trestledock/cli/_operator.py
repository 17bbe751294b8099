"""
Operator commands
=================

`check` validates files locally; `publish`, `show` and `drain` send requests to
a running instance.
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
UNKNOWN_EXIT_CODE = 3

instance_option = click.option(
    '--instance',
    required=True,
    help='URL of a running instance.',
)


@click.command()
@click.argument('path')
@click.option('--settings', is_flag=True, help='The file is a settings file.')
def check(path: str, settings: bool) -> None:
    """Check a configuration or settings file; print all errors with paths."""
    if settings:
        read_settings(path)
    else:
        read_configuration(path)
    click.echo(f'{path}: ok')


@click.command()
@click.argument('path')
@instance_option
@click.option('--base', default=-1, help='The version to replace.')
@click.option(
    '--id',
    'publish_id',
    default='',
    help='Id of an earlier publish request, to repeat it.',
)
def publish(path: str, instance: str, base: int, publish_id: str) -> None:
    """Publish a configuration; print accepted only if it was accepted."""
    read_configuration(path)
    params = {'base': str(base)}
    if publish_id:
        params['id'] = publish_id
    response = _send_request(
        'POST',
        f'{instance}/admin/publish',
        params=params,
        content=Path(path).read_bytes(),
        timeout=PUBLISH_TIMEOUT_S,
    ).json()
    click.echo(yaml.safe_dump(response, sort_keys=False).strip())
    exit_codes = {'accepted': 0, 'conflict': 1}
    sys.exit(exit_codes.get(response.get('verdict', ''), UNKNOWN_EXIT_CODE))


@click.group()
def show() -> None:
    """Show the configuration, the fleet or a placement decision."""


@show.command()
@instance_option
def version(instance: str) -> None:
    """Show the configuration in force."""
    response = _send_request('GET', f'{instance}/admin/configuration')
    if response.is_success:
        click.echo(f'# version {response.headers["trestledock-version"]}')
    click.echo(response.text)


@show.command()
@instance_option
def fleet(instance: str) -> None:
    """Show the targets and peers that the instance knows."""
    response = _send_request('GET', f'{instance}/admin/fleet').json()
    click.echo(yaml.safe_dump(response, sort_keys=False).strip())


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
    """Explain where a request would be placed, and why."""
    name, adapter, number = (*model.split(':'), '', '')[:3]
    params = {
        'team': team,
        'model': name,
        'adapter': adapter,
        'version': number,
        'service': service,
        'tokens': str(tokens),
    }
    response = _send_request(
        'GET', f'{instance}/admin/explain', params=params
    ).json()
    for line in response['lines']:
        click.echo(line)


@click.command()
@click.argument('target')
@instance_option
def drain(target: str, instance: str) -> None:
    """Mark a target as draining, so that it gets no new work."""
    response = _send_request(
        'POST',
        f'{instance}/admin/drain',
        json={'target': target},
    )
    click.echo(response.text)
    sys.exit(0 if response.is_success else 1)


def _send_request(method: str, url: str, **options: Any) -> httpx.Response:
    try:
        return httpx.request(method, url, **options)
    except httpx.HTTPError as exc:
        fail((f'{url}: {exc!r}',))
