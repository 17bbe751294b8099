"""
Whose word an answer is
=======================

An answer comes from whoever has the address of the target that was asked, and
may be about one that helps it.  What it says of a target is believed of the one
that it speaks for.
"""

from http import HTTPStatus

from trestledock.entry._dialect import AnswerMetadata
from trestledock.entry._job import Job
from trestledock.entry._state import EntryState
from trestledock.relay import Placement


def find_speaker(
    state: EntryState,
    job: Job,
    placement: Placement,
    status: int,
    answer: AnswerMetadata,
) -> str:
    """Return the target that an answer speaks for, empty where none is known.

    Only who has read the request knows its id, and who is not the one that was
    asked answers 421, unless that is about a helper.
    """
    is_elsewhere = status == HTTPStatus.MISDIRECTED_REQUEST
    if is_elsewhere and not find_helper(placement, answer.at_fault):
        return state.fleet.newest.get(answer.instance, '')
    echoes = bool(answer.req_id) and answer.req_id == job.call.req_id
    if answer.sealed or answer.not_run or echoes:
        return placement.target.incarnation
    return ''


def find_helper(placement: Placement, named: str) -> str:
    """Return the helper that an answer names by id or address, if any."""
    found = (one for one in placement.helpers if one.is_named(named))
    helper = next(found, None)
    return helper.incarnation if helper else ''
