"""
Settings file of the platform
=============================

Reads the TOML file that the platform writes for each process.  Unknown fields
are ignored; the platform may add some.
"""

import os
import tomllib
from pathlib import Path
from typing import Any

from trestledock.entry import EntrySettings
from trestledock.relay import BudgetTerms

#: The variable that holds the path of the file.
PATH_VARIABLE = 'TRESTLEDOCK_BOOT'
MS = 1000


def read_settings() -> EntrySettings:
    """Read the file that the environment names."""
    path = Path(os.environ[PATH_VARIABLE])
    return decode_settings(tomllib.loads(path.read_text(encoding='utf-8')))


def decode_settings(plain: dict[str, Any]) -> EntrySettings:
    """Return the settings of a process from the platform's fields."""
    bounds = plain.get('bounds', {})
    listen = plain['listen']
    first_port = plain['portRange'][0]
    # `strictRevoke` says whether `revokeMs` holds when the store is away.
    strict = bounds.get('strictRevoke', False)
    return EntrySettings(
        instance=plain['nodeName'],
        data_centre=plain['zone'],
        callers=listen['front'],
        ready=listen['ready'],
        peers=f'{plain["ipAddr"]}:{first_port}',
        store=plain['platform']['address'],
        revoke_s=bounds.get('revokeMs', 0) / MS if strict else 0,
        grace_s=bounds.get('gracePeriodS', 8),
        engine_hold_s=bounds.get('holdMaxMs', 20_000) / MS,
        budget=BudgetTerms(
            ratio=bounds.get('retryRatio', 0.2),
            window_s=bounds.get('budgetWindowS', 10),
            slack=bounds.get('budgetSlack', 20),
        ),
    )
