"""
Packaging
=========

Builds the single executable: a zip application of the package and its
dependencies.  All of them are pure Python, so it runs directly from the file,
without unpacking and without starting another process.
"""

import shutil
import subprocess  # noqa: S404 - build tool, not part of the product
import sys
import tempfile
import zipapp
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
#: Files and packages for developers only.
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
    for extension_module in stage.rglob('*.so'):
        extension_module.unlink()
    shutil.rmtree(stage / 'bin', ignore_errors=True)


@click.command()
@click.argument('path')
def main(path: str) -> None:
    """Build the zip application at PATH."""
    build_binary(Path(path))
    size = Path(path).stat().st_size
    click.echo(f'{path}: {size} bytes')


if __name__ == '__main__':
    main()
