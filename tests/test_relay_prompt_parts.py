"""Names of the parts of a prompt, whatever a caller sends."""

import unittest

from trestledock.platform._headers import PlatformDialect
from trestledock.relay import Body
from trestledock.relay._prompt_parts import MAX_ID_LENGTH, MAX_PARTS


def read_parts(text):
    """Return the names of the parts in a header."""
    scope = {
        'method': 'POST',
        'raw_path': b'/p/x',
        'query_string': b'',
        'headers': [(b'trestledock-prompt-prefix', text.encode('latin-1'))],
    }
    return PlatformDialect().read_call(scope, Body(b'', b''), 0).parts


class PartNamesTest(unittest.TestCase):
    """Which parts get a name."""

    # Guards against a request that is blamed for what only it contains.
    def test_last_part_has_no_name(self):
        self.assertEqual(
            read_parts('5c1e:800,91bd:410,e440:250'), ('part:5c1e', 'part:91bd')
        )
        self.assertEqual(read_parts('5c1e:800'), ())
        self.assertEqual(read_parts(''), ())

    # Guards against crashes that are counted twice for one request.
    def test_repeated_part_has_one_name(self):
        self.assertEqual(read_parts('a:1,b:2,a:1,c:3'), ('part:a', 'part:b'))

    # Guards against two names of one part.
    def test_spelling_does_not_matter(self):
        for text in (
            '5C1E:800,e4:1',
            ' 5c1e : 800 , e4:1',
            '5c1e,e4',
            ',5c1e,,e4,',
        ):
            with self.subTest(text=text):
                self.assertEqual(read_parts(text), ('part:5c1e',))

    # Guards against state that grows with the header of a hostile caller.
    def test_names_are_bounded(self):
        many = ','.join(f'{number:x}:1' for number in range(5_000))
        self.assertEqual(len(read_parts(many)), MAX_PARTS)
        for long_id in ('f' * 60_000, 'é' * 9, 'a"b\\', '{}'):
            with self.subTest(text=long_id[:9]):
                name = read_parts(f'{long_id}:1,e4:1')[0]
                self.assertLess(len(name), MAX_ID_LENGTH + len('part:') + 1)
                self.assertTrue(name.removeprefix('part:').isalnum())

    def test_long_ids_differ(self):
        names = read_parts(f'{"f" * 40}:1,{"f" * 41}:1,e4:1')
        self.assertEqual(len(set(names)), 2)
