"""
Packaging
=========

Builds the one binary: a zip application with the product and the libraries it
needs.  All of them are pure Python, so it runs straight from the file, without
unpacking and without starting another process.
"""

import shutil
import subprocess  # noqa: S404 - a build tool, no part of the product
import sys
import tempfile
import zipapp
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
#: Parts of the source that serve developers only.
EXCLUDED = ('bench', 'packaging.py', '__pycache__')


def build_binary(path: Path) -> None:
    """Build the zip application at `path`."""
    with tempfile.TemporaryDirectory() as folder:
        stage = Path(folder)
        _install_dependencies(stage)
        shutil.copytree(
            ROOT / 'trestledock',
            stage / 'trestledock',
            ignore=shutil.ignore_patterns(*EXCLUDED),
        )
        path.parent.mkdir(parents=True, exist_ok=True)
        zipapp.create_archive(
            stage,
            path,
            interpreter='/usr/bin/env python3',
            main='trestledock.cli:main',
            compressed=True,
        )


def _install_dependencies(stage: Path) -> None:
    command = [
        sys.executable,
        '-m',
        'pip',
        'install',
        '--quiet',
        '--no-compile',
        '--target',
        str(stage),
        '--requirement',
        str(ROOT / 'requirements.txt'),
    ]
    subprocess.run(command, check=True)  # noqa: S603
    for compiled in stage.rglob('*.so'):
        compiled.unlink()
    shutil.rmtree(stage / 'bin', ignore_errors=True)


@click.command()
@click.argument('path')
def main(path: str) -> None:
    """Build the binary at PATH."""
    build_binary(Path(path))
    size = Path(path).stat().st_size
    click.echo(f'{path}: {size} bytes')


if __name__ == '__main__':
    main()
