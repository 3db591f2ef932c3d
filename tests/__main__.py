"""Runs all tests; failures listed in KNOWN-RED.txt do not fail the run.

Each module runs in a separate process, at most ``MAX_PARALLEL_MODULES`` at
once, since many modules start whole fleets and check durations.
"""

from __future__ import annotations

from collections.abc import Iterable
from concurrent import futures
import gc
import itertools
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any
import unittest

import attrs

from tests import fleet

KNOWN_RED = fleet.ROOT / "KNOWN-RED.txt"
MAX_PARALLEL_MODULES = 5

_KNOWN_TEST_PREFIX = "test: "
_LEFT_OPEN = "left_open"


@attrs.frozen
class ModuleResult:
  """Result of the tests of one module.

  Attributes:
    module: Name of the module.
    run: Count of tests that ran.
    failed: Ids of the tests that failed, or the name of the module when its
      process ended without a result.
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


def run_module(module: str, result_path: pathlib.Path | None) -> None:
  """Runs the tests of one module in this process.

  A warning or error in a finalizer, such as that of an open connection, counts
  as a failure of the module.

  Args:
    module: Name of the module.
    result_path: File to write the result to, as JSON; None to only print it.
  """
  unraisable: list[str] = []

  def record_unraisable(args: Any) -> None:
    unraisable.append(repr(args.exc_value))
    sys.__unraisablehook__(args)

  sys.unraisablehook = record_unraisable
  suite = unittest.defaultTestLoader.loadTestsFromName(module)
  result = unittest.TextTestRunner(
    stream=sys.stdout, verbosity=2, warnings="error"
  ).run(suite)
  gc.collect()
  failed = [case.id() for case, _ in (*result.failures, *result.errors)]
  failed += [case.id() for case in result.unexpectedSuccesses]
  if unraisable:
    print(f"left open: {unraisable}")
    failed.append(f"{module}.{_LEFT_OPEN}")
  counts = {"run": result.testsRun, "failed": sorted(set(failed))}
  if result_path is not None:
    result_path.write_text(json.dumps(counts), "utf-8")


def run_module_in_process(
  slot: int, module: str, directory: pathlib.Path
) -> ModuleResult:
  """Runs the tests of one module in a new process.

  Args:
    slot: Slot of the ports that the process may use.
    module: Name of the module.
    directory: Directory for the result of the process.
  """
  started = time.monotonic()
  result_path = directory / f"{module}.json"
  completed = subprocess.run(
    [
      sys.executable,
      "-W",
      "error::ResourceWarning",
      "-m",
      "tests",
      module,
      str(result_path),
    ],
    cwd=fleet.ROOT,
    env={**os.environ, fleet.PORT_SLOT_VARIABLE: str(slot)},
    stdout=subprocess.PIPE,
    stderr=subprocess.STDOUT,
    text=True,
    check=False,
  )
  took_s = time.monotonic() - started
  if completed.returncode or not result_path.exists():
    return ModuleResult(module, 0, [module], took_s, completed.stdout)
  counts = json.loads(result_path.read_text("utf-8"))
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
  with (
    tempfile.TemporaryDirectory(prefix="bronzefold-results-") as directory,
    futures.ThreadPoolExecutor(MAX_PARALLEL_MODULES) as executor,
  ):
    results = list(
      executor.map(
        run_module_in_process,
        itertools.count(),
        modules,
        itertools.repeat(pathlib.Path(directory)),
      )
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

  Args:
    arguments: Name of a module, and the file for its result, both optional.

  Returns:
    0 for a single module, even if its tests fail; for all modules, see
    ``run_all``.
  """
  if arguments:
    result_path = pathlib.Path(arguments[1]) if arguments[1:] else None
    run_module(arguments[0], result_path)
    return 0
  return run_all(find_modules())


if __name__ == "__main__":
  sys.exit(main(sys.argv[1:]))
