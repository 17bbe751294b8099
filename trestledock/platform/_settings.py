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
from trestledock.platform._fields import Field, seconds_of, read_fields
from trestledock.relay import RetryLimits

#: The variable that holds the path of the file.
PATH_VARIABLE = 'TRESTLEDOCK_BOOT'
#: The port of the metrics, which `deploy/system.toml` names, too: a fixed one,
#: since ports of the settings file are new each day.
METRICS_PORT = 9464

BUDGET_FIELDS = (
    Field('retryRatio', 'ratio'),
    Field('budgetWindowS', 'window_s'),
    Field('budgetSlack', 'slack'),
)

BOUND_FIELDS = (
    Field('revokeMs', 'revoke_s', seconds_of),
    Field('gracePeriodS', 'grace_s'),
)

#: What bounds the time until a change is in force: of the configuration, and
#: of the targets that leave, in milliseconds.
SETTLE_BOUNDS = ('configMs', 'drainMs')


class SettingsError(Exception):
    """The settings file can't be read or lacks a field."""


def read_settings() -> EntrySettings:
    """Read the file that the environment names."""
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise SettingsError(f'{PATH_VARIABLE} is not set')
    try:
        return decode_settings(tomllib.loads(Path(path).read_text('utf-8')))
    except (OSError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    except KeyError as exc:
        raise SettingsError(f'{path}: the field {exc} is missing') from exc


def decode_settings(plain: dict[str, Any]) -> EntrySettings:
    """Return the settings of a process from the platform's fields."""
    bounds = plain.get('bounds', {})
    more = read_fields(bounds, BOUND_FIELDS)
    # `strictRevoke` says whether `revokeMs` holds when the store is away.
    if not bounds.get('strictRevoke', False):
        more['revoke_s'] = 0
    settling = [
        seconds_of(bounds[name]) for name in SETTLE_BOUNDS if name in bounds
    ]
    if settling:
        more['settle_s'] = min(settling)
    return EntrySettings(
        instance=plain['nodeName'],
        data_centre=plain['zone'],
        callers=plain['listen']['front'],
        ready=plain['listen']['ready'],
        peers=f'{plain["ipAddr"]}:{plain["portRange"][0]}',
        store=plain['platform']['address'],
        metrics=f'{plain["ipAddr"]}:{METRICS_PORT}',
        budget=RetryLimits(**read_fields(bounds, BUDGET_FIELDS)),
        **more,
    )
