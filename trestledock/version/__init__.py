"""
Configuration versions
======================

The configuration, its validation, its selectors, and the fold of the log that
decides which version is in force.
"""

from trestledock.version._bodies import EpochBody, LeaseBody
from trestledock.version._check import (
    CONVERTER,
    ValidationError,
    check_configuration,
    load_document,
)
from trestledock.version._codec import (
    DecodeError,
    decode,
    dump_json,
    load_json,
)
from trestledock.version._fold import (
    CONFIGURATION,
    EPOCH_PREFIX,
    LEASE_PREFIX,
    NO_BASE,
    SNAPSHOT,
    Accepted,
    Fold,
    Record,
    Snapshot,
)
from trestledock.version._placement import (
    Permission,
    get_permission,
    get_pool_by_request,
    get_rules_by_work,
    get_work_labels,
)
from trestledock.version._reader import (
    Batch,
    Entry,
    Reader,
    make_snapshot_record,
    read_batch,
)
from trestledock.version._schema import (
    Claims,
    Configuration,
    Pool,
    Rule,
    TargetKind,
    Team,
)
from trestledock.version._selector import (
    Labels,
    Op,
    Selector,
    Term,
    find_failing_term,
    matches,
)

__all__ = (
    'CONFIGURATION',
    'CONVERTER',
    'EPOCH_PREFIX',
    'LEASE_PREFIX',
    'NO_BASE',
    'SNAPSHOT',
    'Accepted',
    'Batch',
    'Claims',
    'Configuration',
    'DecodeError',
    'Entry',
    'EpochBody',
    'Fold',
    'Labels',
    'LeaseBody',
    'Op',
    'Permission',
    'Pool',
    'Reader',
    'Record',
    'Rule',
    'Selector',
    'Snapshot',
    'TargetKind',
    'Team',
    'Term',
    'ValidationError',
    'check_configuration',
    'decode',
    'dump_json',
    'find_failing_term',
    'get_permission',
    'get_pool_by_request',
    'get_rules_by_work',
    'get_work_labels',
    'load_document',
    'load_json',
    'make_snapshot_record',
    'matches',
    'read_batch',
)
