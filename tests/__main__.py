"""Runs all tests; failures listed in KNOWN-RED.txt do not fail the run.

Each module runs in a separate process, at most ``MAX_PARALLEL_MODULES`` at
once, since many modules start whole fleets and check durations.
"""

from __future__ import annotations

from collections.abc import Iterable
from concurrent import futures
import itertools
import json
import os
import pathlib
import subprocess
import sys
import time
import unittest

import attrs

from tests import fleet

KNOWN_RED = fleet.ROOT / "KNOWN-RED.txt"
MAX_PARALLEL_MODULES = 5

_KNOWN_TEST_PREFIX = "test: "
_RESULT_PREFIX = "result: "


@attrs.frozen
class ModuleResult:
  """Result of the tests of one module.

  Attributes:
    module: Name of the module.
    run: Count of tests that ran.
    failed: Ids of the tests that failed, or the name of the module when its
      process did not print a result.
    took_s: Duration in seconds.
    output: Output of the process.
  """

  module: str
  run: int
  failed: list[str]
  took_s: float
  output: str


def read_known_failures() -> set[str]:
  """Reads the ids of the tests that may fail from KNOWN-RED.txt."""
  lines = KNOWN_RED.read_text("utf-8").splitlines()
  return {
    line.removeprefix(_KNOWN_TEST_PREFIX).strip()
    for line in lines
    if line.startswith(_KNOWN_TEST_PREFIX)
  }


def run_module(module: str) -> None:
  """Runs the tests of one module in this process and prints the result."""
  suite = unittest.defaultTestLoader.loadTestsFromName(module)
  result = unittest.TextTestRunner(stream=sys.stdout, verbosity=2).run(suite)
  failed = [case.id() for case, _ in (*result.failures, *result.errors)]
  failed += [case.id() for case in result.unexpectedSuccesses]
  counts = {"run": result.testsRun, "failed": sorted(set(failed))}
  print(_RESULT_PREFIX + json.dumps(counts))


def _run_module_in_process(slot: int, module: str) -> ModuleResult:
  """Runs the tests of one module in a new process.

  Args:
    slot: Slot of the ports that the process may use.
    module: Name of the module.
  """
  started = time.monotonic()
  completed = subprocess.run(
    [sys.executable, "-m", "tests", module],
    cwd=fleet.ROOT,
    env={**os.environ, fleet.PORT_SLOT_VARIABLE: str(slot)},
    stdout=subprocess.PIPE,
    stderr=subprocess.STDOUT,
    text=True,
    check=False,
  )
  took_s = time.monotonic() - started
  lines = completed.stdout.splitlines()
  last_line = lines[-1] if lines else ""
  if completed.returncode or not last_line.startswith(_RESULT_PREFIX):
    return ModuleResult(module, 0, [module], took_s, completed.stdout)
  counts = json.loads(last_line.removeprefix(_RESULT_PREFIX))
  return ModuleResult(
    module, counts["run"], counts["failed"], took_s, completed.stdout
  )


def find_modules() -> list[str]:
  """Lists the names of the test modules, the largest files first."""
  paths = sorted(
    (fleet.ROOT / "tests").glob("test_*.py"),
    key=lambda path: -path.stat().st_size,
  )
  return [f"tests.{pathlib.Path(path).stem}" for path in paths]


def run_all(modules: Iterable[str]) -> int:
  """Runs modules in parallel processes and prints the results.

  Args:
    modules: Names of the modules.

  Returns:
    0 if at least one test ran and all failed tests are listed in
    KNOWN-RED.txt, otherwise 1.
  """
  with futures.ThreadPoolExecutor(MAX_PARALLEL_MODULES) as executor:
    results = list(
      executor.map(_run_module_in_process, itertools.count(), modules)
    )
  failed = {name for result in results for name in result.failed}
  known_failures = read_known_failures()
  for result in results:
    print(
      f"{result.module}: {result.run} tests, {len(result.failed)} failed, "
      f"{result.took_s:.1f} s"
    )
    if result.failed:
      print(result.output)
  total = sum(result.run for result in results)
  print(f"known to fail and failed: {sorted(failed & known_failures)}")
  print(f"failed otherwise: {sorted(failed - known_failures)}")
  print(f"{total - len(failed)} passed, {len(failed - known_failures)} failed")
  return 1 if failed - known_failures or not total else 0


def main(arguments: list[str]) -> int:
  """Runs the module that is named, or all modules in separate processes.

  Returns:
    0 for a single module, even if its tests fail; for all modules, see
    ``run_all``.
  """
  if arguments:
    run_module(arguments[0])
    return 0
  return run_all(find_modules())


if __name__ == "__main__":
  sys.exit(main(sys.argv[1:]))
