"""
Platform settings
=================

Reads the TOML settings file that the platform writes for each process.  Unknown
fields are ignored, because the platform may add some.
"""

import os
import tomllib
from pathlib import Path
from typing import Any

from trestledock.entry import EntrySettings, read_number
from trestledock.platform._fields import Field, ms_to_seconds, read_fields
from trestledock.relay import ColdBounds, RetryLimits

#: The environment variable with the path of the file.
PATH_VARIABLE = 'TRESTLEDOCK_BOOT'
#: The environment variable with the longest plain answer of targets, in bytes.
ANSWER_VARIABLE = 'TRESTLEDOCK_MAX_ANSWER_BYTES'
#: The port of the metrics, which is also named in `deploy/system.toml`.  It is
#: fixed because the ports in the settings file change every day.
METRICS_PORT = 9464

BUDGET_FIELDS = (
    Field('retryRatio', 'ratio'),
    Field('budgetWindowS', 'window_s'),
    Field('budgetSlack', 'slack'),
)

BOUND_FIELDS = (
    Field('revokeMs', 'revoke_s', ms_to_seconds),
    Field('gracePeriodS', 'grace_s'),
)

#: The bound on requests to cold targets in any second: a factor of the rate
#: that they sustain, and a number on top.  Only both together are a bound.
COLD_FIELDS = (
    Field('coldOver', 'over', read_number),
    Field('coldSlack', 'slack', read_number),
)

#: The bounds, in milliseconds, on the time until a change takes effect: a new
#: configuration, a draining target, and an evacuation.
PROPAGATION_BOUNDS = ('configMs', 'drainMs', 'evacMs')


class SettingsError(Exception):
    """The settings file can't be read or a field is missing."""


def read_settings() -> EntrySettings:
    """Read the settings file that the environment variable names."""
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise SettingsError(f'{PATH_VARIABLE} is not set')
    try:
        return decode_settings(tomllib.loads(Path(path).read_text('utf-8')))
    except (OSError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    except KeyError as exc:
        raise SettingsError(f'{path}: the field {exc} is missing') from exc


def decode_settings(data: dict[str, Any]) -> EntrySettings:
    """Decode the settings of a process."""
    bounds = data.get('bounds', {})
    optional = read_fields(bounds, BOUND_FIELDS)
    # `strictRevoke` tells whether `revokeMs` applies while the store is
    # unavailable.
    if not bounds.get('strictRevoke', False):
        optional['revoke_s'] = 0
    propagation_s = [
        ms_to_seconds(bounds[name])
        for name in PROPAGATION_BOUNDS
        if name in bounds
    ]
    if propagation_s:
        optional['settle_s'] = min(propagation_s)
    limit = os.environ.get(ANSWER_VARIABLE)
    if limit:
        optional['max_answer_bytes'] = _parse_limit(limit)
    cold = read_fields(bounds, COLD_FIELDS)
    if len(cold) == len(COLD_FIELDS):
        optional['cold_bounds'] = ColdBounds(**cold)
    return EntrySettings(
        instance=data['nodeName'],
        data_centre=data['zone'],
        callers=data['listen']['front'],
        ready=data['listen']['ready'],
        peers=f'{data["ipAddr"]}:{data["portRange"][0]}',
        store=data['platform']['address'],
        metrics=f'{data["ipAddr"]}:{METRICS_PORT}',
        budget=RetryLimits(**read_fields(bounds, BUDGET_FIELDS)),
        **optional,
    )


def _parse_limit(text: str) -> int:
    """Parse a number of bytes above zero."""
    if not text.isdecimal() or not int(text):
        raise SettingsError(f'{ANSWER_VARIABLE}: no number of bytes: {text!r}')
    return int(text)
