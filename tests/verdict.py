"""
Test result evaluation
======================

Reads the report of the test runner and KNOWN-RED.txt, and prints how many tests
passed and failed.  Failures of listed tests are printed but not counted, as
they are caused by known, open faults.  A listed test that passes counts as a
failure, so that the list stays accurate.

    python -m tests.verdict REPORT EXIT_CODE KNOWN_RED

prints a line for each failure and known failure, then `PASSED FAILED`.
"""

import re
import sys
from dataclasses import dataclass
from pathlib import Path

#: The first line of the report about a failed test.
FAILURE = re.compile(r'^(?:FAIL|ERROR): .*?\(([\w.]+)\)', re.MULTILINE)
RAN = re.compile(r'^Ran (\d+) tests? in', re.MULTILINE)
#: The most tests that may be listed as known red.
MAX_KNOWN_RED = 3


@dataclass(frozen=True)
class Verdict:
    """The counts of a run, with a line for each failure."""

    passed: int
    failed: int
    lines: tuple[str, ...] = ()


def read_known(text: str) -> tuple[str, ...]:
    """Return the listed tests: the first word of each line.

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
    """Evaluate a report."""
    ran = sum(int(count) for count in RAN.findall(report)[-1:])
    failures = set(FAILURE.findall(report))
    red = failures.intersection(known)
    problems = [f'FAILED: {test}' for test in sorted(failures - red)]
    problems.extend(
        f'FAILED: {test} is listed as known red, but passes'
        for test in sorted(set(known) - failures)
    )
    if len(known) > MAX_KNOWN_RED:
        problems.append(
            f'FAILED: more than {MAX_KNOWN_RED} tests are listed as red'
        )
    if not ran:
        problems.append('FAILED: no test ran')
    if exit_code and not failures:
        problems.append(f'FAILED: the runner ended with {exit_code}')
    passed = max(0, ran - len(failures))
    lines = [f'known red: {test}' for test in sorted(red)]
    return Verdict(passed, len(problems), (*lines, *problems))


def main() -> None:
    """Evaluate the report named on the command line."""
    report, exit_code, listed = sys.argv[1:]
    path = Path(listed)
    known = read_known(path.read_text('utf-8')) if path.exists() else ()
    text = Path(report).read_text('utf-8')
    verdict = judge(text, int(exit_code), known)
    for line in (*verdict.lines, f'{verdict.passed} {verdict.failed}'):
        sys.stdout.write(f'{line}\n')


if __name__ == '__main__':
    main()
