"""
Verdict of a test run
=====================

Reads the report of the test runner and KNOWN-RED.txt, and says how many tests
passed and failed.  Tests on the list are passed over and printed: they fail for
a fault that is known and open.  One of them that passes is a failure as well,
so that the list stays true.

    python -m tests.verdict REPORT EXIT_CODE KNOWN_RED

prints a line for each test that counts, then `PASSED FAILED`.
"""

import re
import sys
from dataclasses import dataclass
from pathlib import Path

#: The line with which the report begins the account of a failed test.
BROKEN = re.compile(r'^(?:FAIL|ERROR): .*?\(([\w.]+)\)', re.MULTILINE)
RAN = re.compile(r'^Ran (\d+) tests? in', re.MULTILINE)
#: How many tests may be red at once.
MOST_RED = 3


@dataclass(frozen=True)
class Verdict:
    """What a run says, with a line for each test that is not simply passed."""

    passed: int
    failed: int
    lines: tuple[str, ...] = ()


def read_known(text: str) -> tuple[str, ...]:
    """Return the tests of the list: the first word of each line.

    >>> read_known('tests.test_a.T.test_x: the cause, issue 1')
    ('tests.test_a.T.test_x',)
    """
    lines = [line.strip() for line in text.splitlines()]
    return tuple(
        line.split()[0].rstrip(':')
        for line in lines
        if line and not line.startswith('#')
    )


def judge(report: str, exit_code: int, known: tuple[str, ...]) -> Verdict:
    """Return the verdict on a report."""
    ran = sum(int(one) for one in RAN.findall(report)[-1:])
    broken = set(BROKEN.findall(report))
    red = broken.intersection(known)
    problems = [f'FAILED: {one}' for one in sorted(broken - red)]
    problems.extend(
        f'FAILED: {one} is listed as known red, but passes'
        for one in sorted(set(known) - broken)
    )
    if len(known) > MOST_RED:
        problems.append(f'FAILED: more than {MOST_RED} tests are listed as red')
    if not ran:
        problems.append('FAILED: no test ran')
    if exit_code and not broken:
        problems.append(f'FAILED: the runner ended with {exit_code}')
    passed = max(0, ran - len(broken))
    lines = [f'known red: {one}' for one in sorted(red)]
    return Verdict(passed, len(problems), (*lines, *problems))


def main() -> None:
    """Print the verdict on the report that the command line names."""
    report, exit_code, listed = sys.argv[1:]
    path = Path(listed)
    known = read_known(path.read_text('utf-8')) if path.exists() else ()
    text = Path(report).read_text('utf-8')
    verdict = judge(text, int(exit_code), known)
    for line in (*verdict.lines, f'{verdict.passed} {verdict.failed}'):
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
