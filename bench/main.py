"""Command line of ``make bench`` and ``make bench-quick``."""

from __future__ import annotations

from collections.abc import Sequence
import json
import pathlib
import sys

from absl import app
from absl import flags
import attrs
import json5

from bench import deployments
from bench import scenarios

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the traffic schedule.")
_QUICK = flags.DEFINE_bool(
  "quick", False, "Run fewer, shorter scenarios, in less than a minute."
)
_RATE = flags.DEFINE_float("rate", 10.0, "Searches per second.")
_DURATION_S = flags.DEFINE_float(
  "duration_s", 10.0, "Duration of each traffic phase, in seconds."
)
_DEPLOYMENTS = flags.DEFINE_list(
  "deployments", sorted(deployments.DEPLOYMENTS), "Deployments to measure."
)
_SCENARIOS = flags.DEFINE_list("scenarios", [], "Scenarios; all by default.")
_OUTPUT = flags.DEFINE_string(
  "output", "out/bench.json", "File for the results, JSON."
)

_QUICK_SCENARIOS = ("straggler", "config")
_QUICK_DURATION_S = 4.0
# Scenario, variant and figure that each bound applies to. An empty variant
# stands for all variants; the worst figure is compared.
_BOUND_FIGURES = {
  "straggler_p99_ms": ("straggler", "tier", "p99_ms"),
  "straggler_extra_work": ("straggler", "tier", "extra_work"),
  "straggler_mean_coverage": ("straggler", "tier", "mean_coverage"),
  "overload_goodput_kept": ("overload", "tier 2x", "goodput_kept"),
  "zone_time_to_none_s": ("zone", "tier", "time_to_none_s"),
  "zone_failed": ("zone", "tier", "failed"),
  "restart_most_over_bearable": ("restart", "tier", "over_bearable"),
  "config_in_force_s": ("config", "", "in_force_s"),
  "control_cpu_share": ("control", "8 nodes", "cpu_share"),
  "control_memory_mb": ("control", "8 nodes", "memory_mb"),
  "control_bytes_per_s": ("control", "8 nodes", "bytes_per_s"),
}


@attrs.frozen
class Verdict:
  """Result of comparing a figure with its bound.

  Attributes:
    bound: Name of the bound.
    deployment: Name of the deployment.
    figure: The measured value.
    limit: Value of the bound.
    held: True if the figure is within the bound.
  """

  bound: str
  deployment: str
  figure: float
  limit: float
  held: bool


def compare_with_bounds(
  deployment: str, rows: Sequence[scenarios.Row], bounds: dict[str, dict]
) -> list[Verdict]:
  """Compares the figures of a deployment with the bounds.

  Args:
    deployment: Name of the deployment.
    rows: Results of its scenarios.
    bounds: Content of ``bounds.json``.

  Returns:
    A verdict for each bound whose scenario was run.
  """
  verdicts = []
  for bound, (scenario, variant, figure) in _BOUND_FIGURES.items():
    limit, better = bounds[bound]["limit"], bounds[bound]["better"]
    values = [
      row.figures[figure]
      for row in rows
      if row.scenario == scenario and variant in ("", row.variant)
    ]
    if not values:
      continue
    worst = max(values) if better == "lower" else min(values)
    is_within_bound = worst <= limit if better == "lower" else worst >= limit
    verdicts.append(Verdict(bound, deployment, worst, limit, is_within_bound))
  return verdicts


def _make_options() -> scenarios.Options:
  quick = _QUICK.value
  return scenarios.Options(
    seed=_SEED.value,
    duration_s=_QUICK_DURATION_S if quick else _DURATION_S.value,
    rate=_RATE.value,
    quick=quick,
  )


def _select_scenarios() -> list[str]:
  if _SCENARIOS.value:
    return _SCENARIOS.value
  return list(_QUICK_SCENARIOS if _QUICK.value else scenarios.SCENARIOS)


def _print_row(deployment: str, row: scenarios.Row) -> None:
  figures = "  ".join(f"{k} {v:.4g}" for k, v in row.figures.items())
  print(f"{deployment} {row.scenario} [{row.variant}]  {figures}", flush=True)


def main(_: list[str]) -> int:
  """Runs the scenarios and compares their figures with the bounds.

  Returns:
    The exit code: 0 if every figure is within its bound, 1 otherwise.
  """
  options = _make_options()
  path = pathlib.Path(__file__).parent / "bounds.json"
  bounds = json5.loads(path.read_text("utf-8"))
  names = _DEPLOYMENTS.value[:1] if options.quick else _DEPLOYMENTS.value
  results: dict[str, list[dict]] = {}
  verdicts: list[Verdict] = []
  for name in names:
    rows = []
    for scenario in _select_scenarios():
      measure = scenarios.SCENARIOS[scenario]
      for row in measure(options, deployments.DEPLOYMENTS[name]):
        _print_row(name, row)
        rows.append(row)
    results[name] = [attrs.asdict(row) for row in rows]
    verdicts += compare_with_bounds(name, rows, bounds)
  for verdict in verdicts:
    word = "held" if verdict.held else "BROKEN"
    print(
      f"{word}: {verdict.deployment} {verdict.bound} "
      f"{verdict.figure:.4g} against {verdict.limit:g}"
    )
  output = pathlib.Path(_OUTPUT.value)
  output.parent.mkdir(parents=True, exist_ok=True)
  content = {
    "options": attrs.asdict(options),
    "results": results,
    "verdicts": [attrs.asdict(verdict) for verdict in verdicts],
  }
  output.write_text(json.dumps(content, indent=2), "utf-8")
  return 0 if all(verdict.held for verdict in verdicts) else 1


if __name__ == "__main__":
  sys.exit(app.run(main))
