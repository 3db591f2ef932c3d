"""Runs all tests; failures listed in KNOWN-RED.txt are passed over.

Modules run in parallel processes. Modules that start whole fleets and judge
times run a few at once, the others fill the remaining processors.
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
PARALLEL_MODULES = 5

_PREFIX = "test: "
_RESULT_PREFIX = "result: "


@attrs.frozen
class ModuleResult:
  """What became of a module's tests.

  Attributes:
    module: Name of the module.
    run: Count of tests.
    failed: Ids of the tests that failed.
    took_s: Duration.
    output: What the runner printed.
  """

  module: str
  run: int
  failed: list[str]
  took_s: float
  output: str


def read_known() -> set[str]:
  """Reads the names of the tests that may fail."""
  lines = KNOWN_RED.read_text("utf-8").splitlines()
  return {
    line.removeprefix(_PREFIX).strip()
    for line in lines
    if line.startswith(_PREFIX)
  }


def run_module(module: str) -> None:
  """Runs the tests of one module in this process and prints the result."""
  suite = unittest.defaultTestLoader.loadTestsFromName(module)
  result = unittest.TextTestRunner(stream=sys.stdout, verbosity=2).run(suite)
  failed = [case.id() for case, _ in (*result.failures, *result.errors)]
  failed += [case.id() for case in result.unexpectedSuccesses]
  counts = {"run": result.testsRun, "failed": sorted(set(failed))}
  print(_RESULT_PREFIX + json.dumps(counts))


def _start_module(slot: int, module: str) -> ModuleResult:
  started = time.monotonic()
  done = subprocess.run(
    [sys.executable, "-m", "tests", module],
    cwd=fleet.ROOT,
    env={**os.environ, fleet.PORT_SLOT_VARIABLE: str(slot)},
    stdout=subprocess.PIPE,
    stderr=subprocess.STDOUT,
    text=True,
    check=False,
  )
  took_s = time.monotonic() - started
  lines = done.stdout.splitlines()
  last = lines[-1] if lines else ""
  if done.returncode or not last.startswith(_RESULT_PREFIX):
    return ModuleResult(module, 0, [module], took_s, done.stdout)
  counts = json.loads(last.removeprefix(_RESULT_PREFIX))
  return ModuleResult(
    module, counts["run"], counts["failed"], took_s, done.stdout
  )


def find_modules() -> list[str]:
  """Lists the test modules, those of the most bytes first."""
  paths = sorted(
    (fleet.ROOT / "tests").glob("test_*.py"),
    key=lambda path: -path.stat().st_size,
  )
  return [f"tests.{pathlib.Path(path).stem}" for path in paths]


def run_all(modules: Iterable[str]) -> int:
  """Runs modules in parallel processes.

  Returns:
    0 when only known tests have failed.
  """
  with futures.ThreadPoolExecutor(PARALLEL_MODULES) as executor:
    results = list(executor.map(_start_module, itertools.count(), modules))
  failed = {name for result in results for name in result.failed}
  known = read_known()
  for result in results:
    print(
      f"{result.module}: {result.run} tests, {len(result.failed)} failed, "
      f"{result.took_s:.1f} s"
    )
    if result.failed:
      print(result.output)
  total = sum(result.run for result in results)
  print(f"known to fail and failed: {sorted(failed & known)}")
  print(f"failed otherwise: {sorted(failed - known)}")
  print(f"{total - len(failed)} passed, {len(failed - known)} failed")
  return 1 if failed - known or not total else 0


def main(arguments: list[str]) -> int:
  """Runs one module in this process, or all in processes of their own."""
  if arguments:
    run_module(arguments[0])
    return 0
  return run_all(find_modules())


if __name__ == "__main__":
  sys.exit(main(sys.argv[1:]))
