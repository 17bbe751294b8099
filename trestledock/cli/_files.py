"""
Input files of commands
=======================

Reads settings and configuration files.  If a file is invalid, all its errors
are printed, one per line, and the command exits with code 2.
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

USAGE_EXIT_CODE = 2

Document = TypeVar('Document')


def read_settings(path: str) -> Settings:
    """Read a settings file; exit with an error if it is invalid."""
    return _unwrap_or_exit(path, load_document(_read(path), Settings))


def read_configuration(path: str) -> Configuration:
    """Read a configuration file; exit with an error if it is invalid."""
    return _unwrap_or_exit(path, check_configuration(_read(path)))


def fail(lines: tuple[str, ...]) -> NoReturn:
    """Print errors to standard error and exit with code 2."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(USAGE_EXIT_CODE)


def _read(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        fail((f'{path}: {exc}',))


def _unwrap_or_exit(
    path: str,
    checked: Result[Document, ValidationError],
) -> Document:
    if isinstance(checked, Success):
        return checked.unwrap()
    errors = checked.failure().errors
    fail(tuple(f'{path}: {line}' for line in errors))
