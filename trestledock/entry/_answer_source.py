"""
Source of an answer
===================

An answer comes from whichever process has the address of the target, and may be
about a helper of the target. Statements in an answer count for the target that
it can be attributed to.
"""

from http import HTTPStatus

from trestledock.entry._dialect import AnswerMetadata
from trestledock.entry._job import Job
from trestledock.entry._state import EntryState
from trestledock.relay import Placement


def find_attributed_target(
    state: EntryState,
    job: Job,
    placement: Placement,
    status: int,
    answer: AnswerMetadata,
) -> str:
    """Return the target an answer can be attributed to, empty if unknown.

    Only a target that read the request knows its id. One that was not the
    addressee answers 421, unless that status is about a helper.
    """
    is_elsewhere = status == HTTPStatus.MISDIRECTED_REQUEST
    if is_elsewhere and not find_helper(placement, answer.at_fault):
        return state.fleet.newest.get(answer.instance, '')
    echoes_id = bool(answer.req_id) and answer.req_id == job.call.req_id
    if answer.sealed or answer.is_marked or echoes_id:
        return placement.target.incarnation
    return ''


def find_helper(placement: Placement, named: str) -> str:
    """Return the helper that an answer names by id or address, if any."""
    matches = (helper for helper in placement.helpers if helper.is_named(named))
    helper = next(matches, None)
    return helper.incarnation if helper else ''
