"""The test runner: results of modules that print or leave something open."""

import os
import pathlib
import tempfile
import textwrap
import unittest
from unittest import mock

from tests import __main__ as runner


class RunnerTest(unittest.TestCase):
  """Modules of one test, each in a process of its own."""

  def setUp(self):
    directory = self.enterContext(tempfile.TemporaryDirectory())
    self.directory = pathlib.Path(directory)
    self.enterContext(mock.patch.dict(os.environ, PYTHONPATH=directory))

  def run_case(self, name: str, body: str) -> runner.ModuleResult:
    """Runs a module whose only test has the given body."""
    source = (
      "import atexit, socket, unittest\n"
      "class Case(unittest.TestCase):\n"
      "  def test_case(self):\n"
    )
    path = self.directory / f"{name}.py"
    path.write_text(source + textwrap.indent(body, "    "), "utf-8")
    return runner.run_module_in_process(0, name, self.directory)

  def test_output_after_the_result_does_not_hide_it(self):
    result = self.run_case("noisy", "atexit.register(print, 'last words')\n")
    self.assertEqual((result.run, result.failed), (1, []))
    self.assertIn("last words", result.output)

  def test_output_like_a_result_is_not_taken_for_one(self):
    printed = 'result: {"run": 9, "failed": []}'
    result = self.run_case("false", f"print({printed!r}); self.fail()\n")
    self.assertEqual((result.run, result.failed), (1, ["false.Case.test_case"]))

  def test_open_socket_fails_the_module(self):
    result = self.run_case("leak", "socket.socket()\n")
    self.assertEqual(result.run, 1)
    self.assertTrue(result.failed)

  def test_process_that_ends_early_fails_the_module(self):
    result = self.run_case("ends", "import os; os._exit(0)\n")
    self.assertEqual((result.run, result.failed), (0, ["ends"]))

  def test_exit_code_fails_the_module(self):
    body = "import os; atexit.register(os._exit, 3)\n"
    result = self.run_case("code", body)
    self.assertEqual((result.run, result.failed), (0, ["code"]))


if __name__ == "__main__":
  unittest.main()
