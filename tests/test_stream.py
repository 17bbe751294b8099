"""Answers are reordered completely, from the current attempt only."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.request import Assembler, Chunk

COUNT = 12


class AssemblerTest(unittest.TestCase):
    @given(st.permutations(range(COUNT)), st.lists(st.integers(0, COUNT - 1)))
    def test_any_order_with_repeats(self, order, repeats):
        assembler = Assembler(1)
        pushed = []
        for index in (*order, *repeats):
            pushed.extend(assembler.push(1, Chunk(index, str(index))))
        assembler.finish(1, COUNT)
        self.assertEqual([chunk.index for chunk in pushed], list(range(COUNT)))
        self.assertTrue(assembler.is_complete)

    def test_end_marker_before_last_chunk(self):
        assembler = Assembler(1)
        assembler.finish(1, 2)
        assembler.push(1, Chunk(0, 'a'))
        self.assertFalse(assembler.is_complete)
        assembler.push(1, Chunk(1, 'b'))
        self.assertTrue(assembler.is_complete)

    def test_late_chunk_of_an_earlier_attempt(self):
        assembler = Assembler(1)
        assembler.push(1, Chunk(0, 'a'))
        assembler.switch(2)
        self.assertEqual(assembler.push(1, Chunk(1, 'old')), ())
        self.assertEqual(
            assembler.push(2, Chunk(1, 'new')),
            (Chunk(1, 'new'),),
        )

    def test_chunks_of_several_tokens(self):
        assembler = Assembler(1)
        assembler.push(1, Chunk(0, 'abc', 3))
        self.assertEqual(assembler.next_index, 3)
