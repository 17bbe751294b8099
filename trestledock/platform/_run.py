"""
Entry process on the platform
=============================

Builds the entry from the platform's settings and runs it.
"""

import logging
import signal
import sys

import anyio
from pythonjsonlogger.json import JsonFormatter

from trestledock.entry import EntrySettings, run_entry
from trestledock.platform._headers import PlatformDialect
from trestledock.platform._settings import read_settings
from trestledock.platform._store import StoreDirectory


def run() -> None:
    """Run an entry until it is asked to stop."""
    # A change of the settings must not end a process that is still starting.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _set_up_logs()
    settings = read_settings()
    anyio.run(run_entry, settings, PlatformDialect(), _make_directory)


def _make_directory(settings: EntrySettings) -> StoreDirectory:
    return StoreDirectory(settings.store)


def _set_up_logs() -> None:
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter('%(asctime)s %(levelname)s %(message)s'),
    )
    log = logging.getLogger('trestledock')
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    log.propagate = False
