"""
Entry process on the platform
=============================

Builds an entry from the platform's settings and runs it.
"""

import sys

from trestledock import clock
from trestledock.entry import EntrySettings, run_entry, set_up_logs
from trestledock.platform._headers import PlatformDialect
from trestledock.platform._settings import SettingsError, read_settings
from trestledock.platform._store import StoreDirectory


def run_entry_process() -> None:
    """Run an entry; exit with a message if the settings are invalid."""
    set_up_logs()
    try:
        clock.run(run_entry, read_settings, PlatformDialect(), _make_directory)
    except SettingsError as exc:
        sys.exit(f'trestledock: {exc}')


def _make_directory(settings: EntrySettings) -> StoreDirectory:
    return StoreDirectory(settings.store)
