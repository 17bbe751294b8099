"""Commands report the path of a bad file and exit with code 2."""

import subprocess
import sys
import unittest
from pathlib import Path

from click.testing import CliRunner
from nose2.tools import params

from trestledock import VERSION
from trestledock.cli import main

ROOT = Path(__file__).parent.parent


class CommandsTest(unittest.TestCase):
    def run_command(self, *words, text=''):
        runner = CliRunner()
        with runner.isolated_filesystem():
            Path('file.yaml').write_text(text)
            return runner.invoke(main, words)

    # Guards against instances and stand-ins that answer nothing: the entry
    # replaces the server of its library, with settings that they don't have.
    def test_commands_do_not_import_the_entry(self):
        code = (
            'import sys, trestledock.cli; '
            'sys.exit("trestledock.entry" in sys.modules)'
        )
        command = (sys.executable, '-c', code)
        self.assertEqual(subprocess.run(command, cwd=ROOT).returncode, 0)

    def test_version(self):
        self.assertIn(VERSION, self.run_command('--version').output)

    @params(
        ('check', 'file.yaml'),
        ('check', '--settings', 'file.yaml'),
        ('serve', '--settings', 'file.yaml'),
        ('publish', 'file.yaml', '--instance', 'http://127.0.0.1:9'),
        ('check', 'missing.yaml'),
    )
    def test_bad_file(self, *words):
        answer = self.run_command(*words, text='instanse: x')
        self.assertEqual(answer.exit_code, 2)
        self.assertIn('file.yaml', answer.output.replace('missing', 'file'))

    def test_unreachable_instance(self):
        answer = self.run_command(
            'show',
            'fleet',
            '--instance',
            'http://127.0.0.1:9',
        )
        self.assertEqual(answer.exit_code, 2)

    def test_readme_example(self):
        text = (ROOT / 'README.md').read_text()
        code = text.split('```python\n')[1].split('```')[0]
        answer = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertIn('not_run no_configuration', answer.stdout)
