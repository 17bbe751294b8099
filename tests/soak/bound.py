"""
Entry with a source address
===========================

Runs the entry with all its connections bound to its own address, so that the
links of a run tell the entries apart.
"""

import os
import signal
import tomllib
from functools import partial
from pathlib import Path

import anyio

from trestledock.platform import run


def bind_connections() -> None:
    """Have new connections come from the address in the settings file."""
    settings = tomllib.loads(Path(os.environ['TRESTLEDOCK_BOOT']).read_text())
    anyio.connect_tcp = partial(
        anyio.connect_tcp, local_host=settings['ipAddr']
    )


if __name__ == '__main__':
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    bind_connections()
    run()
