"""Whose answer was read on a connection that has carried other exchanges."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import (
    MAX_EXCHANGES,
    NO_NAME,
    AnswerOrigin,
    ExchangeNames,
)

NAMES = st.sampled_from((NO_NAME, 'r1', 'r2', 'r3'))


def carry(*names):
    """Return the names of a connection that has carried some exchanges."""
    carried = ExchangeNames()
    for name in names:
        carried.begin(name)
        carried.find_origin(name)
    return carried


class ExchangeNamesTest(unittest.TestCase):
    """One connection and the names of its answers."""

    # Guards against a late copy of an answer that is taken for that of a later
    # sending of the same request.
    def test_same_name_again(self):
        carried = carry('r1')
        self.assertFalse(carried.may_begin('r1'))
        carried.begin('r1')
        self.assertIs(carried.find_origin('r1'), AnswerOrigin.earlier)

    # Guards against an answer without any id that is taken for that of a
    # request, though it may be a copy of an order's.
    def test_no_name_after_an_order(self):
        carried = carry(NO_NAME)
        carried.begin('r1')
        self.assertIs(carried.find_origin(NO_NAME), AnswerOrigin.earlier)

    # Guards against a copy of a request's answer that is taken for an order's.
    def test_name_during_an_order(self):
        carried = carry('r1')
        carried.begin(NO_NAME)
        self.assertIs(carried.find_origin('r1'), AnswerOrigin.earlier)
        self.assertIs(carried.find_origin(NO_NAME), AnswerOrigin.own)

    # Guards against orders that share a connection, whose answers nothing
    # tells apart.
    def test_second_order(self):
        self.assertFalse(carry(NO_NAME, 'r1').may_begin(NO_NAME))

    # Guards against a request without a name of its own in its answer, whose
    # copy stands for the answer of a later request.
    def test_no_name_in_an_answer(self):
        carried = ExchangeNames()
        carried.begin('r1')
        self.assertFalse(carried.is_spent)
        self.assertIs(carried.find_origin(NO_NAME), AnswerOrigin.own)
        self.assertTrue(carried.is_spent)
        carried.begin('r2')
        self.assertIs(carried.find_origin(NO_NAME), AnswerOrigin.earlier)

    def test_unknown_name(self):
        carried = carry('r1')
        carried.begin('r2')
        self.assertIs(carried.find_origin('r3'), AnswerOrigin.unknown)
        self.assertIs(carried.find_origin('r2'), AnswerOrigin.own)

    # Guards against a connection whose names take ever more memory.
    def test_names_are_bounded(self):
        carried = carry(*map(str, range(MAX_EXCHANGES - 1)))
        self.assertFalse(carried.is_spent)
        carried.begin('last')
        self.assertTrue(carried.is_spent)

    # Guards against any copy of an earlier answer that is believed, whatever a
    # connection has carried.
    @given(st.lists(st.tuples(NAMES, st.booleans()), max_size=8), NAMES)
    def test_no_copy_is_believed(self, exchanges, last):
        carried = ExchangeNames()
        answered = set()
        for name, bears_name in exchanges:
            if not carried.may_begin(name):
                continue
            carried.begin(name)
            answer_name = name if bears_name else NO_NAME
            if carried.find_origin(answer_name) is AnswerOrigin.own:
                answered.add(answer_name)
        carried.begin(last)
        for copy in answered:
            self.assertIs(carried.find_origin(copy), AnswerOrigin.earlier)
