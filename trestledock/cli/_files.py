"""
Files of the command line
=========================

Reads settings and configurations and ends the command with every error, one a
line, and exit code 2 where they don't fit.
"""

import sys
from pathlib import Path
from typing import NoReturn, TypeVar

import click
from returns.result import Result, Success

from trestledock.connection import Settings
from trestledock.version import (
    Configuration,
    ValidationError,
    check_configuration,
    load_document,
)

USAGE_ERROR = 2

Document = TypeVar('Document')


def read_settings(path: str) -> Settings:
    """Read a settings file or end the command."""
    return _unwrap(path, load_document(_read(path), Settings))


def read_configuration(path: str) -> Configuration:
    """Read a configuration file or end the command."""
    return _unwrap(path, check_configuration(_read(path)))


def fail(lines: tuple[str, ...]) -> NoReturn:
    """Print errors and end the command."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(USAGE_ERROR)


def _read(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        fail((f'{path}: {exc}',))


def _unwrap(path: str, found: Result[Document, ValidationError]) -> Document:
    if isinstance(found, Success):
        return found.unwrap()
    errors = found.failure().errors
    fail(tuple(f'{path}: {line}' for line in errors))
