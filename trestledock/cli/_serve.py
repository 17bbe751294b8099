"""
Serving commands
================

`serve` runs an instance; `standin` runs one of the stand-in servers.
"""

import logging
import sys

import anyio
import click
from pythonjsonlogger.json import JsonFormatter

from trestledock import clock
from trestledock.cli._files import read_settings
from trestledock.connection import run_until_signal
from trestledock.standin import (
    EngineSpec,
    LogModel,
    PlatformServer,
    ServiceServer,
    make_engine,
)


def configure_logging() -> None:
    """Write log lines as JSON to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter('%(asctime)s %(levelname)s %(message)s'),
    )
    logger = logging.getLogger('trestledock')
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)


@click.command()
@click.option('--settings', required=True, help='The settings file (YAML).')
def serve(settings: str) -> None:
    """Run an instance."""
    loaded_settings = read_settings(settings)
    configure_logging()
    clock.run(run_until_signal, loaded_settings)


@click.group()
def standin() -> None:
    """Run a stand-in server for tests: engine, service or platform."""


@standin.command()
@click.option('--listen', required=True)
@click.option('--platform', default='')
@click.option('--model', 'models', multiple=True, help='name:adapter:version')
@click.option(
    '--rate', default=8_000.0, help='Prefill rate in tokens per second.'
)
@click.option('--itl-ms', default=20.0, help='Milliseconds between tokens.')
@click.option(
    '--capacity', default=400_000, help='KV cache capacity in tokens.'
)
@click.option('--checks-fencing', is_flag=True)
@click.option('--seed', default=0)
def engine(
    listen: str,
    platform: str,
    models: tuple[str, ...],
    rate: float,
    itl_ms: float,
    capacity: int,
    checks_fencing: bool,
    seed: int,
) -> None:
    """Run a stand-in engine."""
    spec = EngineSpec(
        rate=rate,
        itl_s=itl_ms / 1000,
        capacity_tokens=capacity,
        checks_fencing=checks_fencing,
    )
    server = make_engine(frozenset(models), spec, platform, seed)
    anyio.run(server.run, listen)


@standin.command()
@click.option('--listen', required=True)
def service(listen: str) -> None:
    """Run the stand-in for a plain service."""
    anyio.run(ServiceServer().run, listen)


@standin.command()
@click.option('--listen', required=True)
@click.option('--retention-s', default=float('inf'))
def platform(listen: str, retention_s: float) -> None:
    """Run the stand-in platform: log, instance list and weight store."""
    server = PlatformServer(LogModel(retention_s=retention_s))
    anyio.run(server.run, listen)
