"""Command of the measurements: ``make bench`` and ``make bench-quick``."""

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

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the traffic.")
_QUICK = flags.DEFINE_bool("quick", False, "A run of less than a minute.")
_RATE = flags.DEFINE_float("rate", 10.0, "Searches per second.")
_DURATION_S = flags.DEFINE_float("duration_s", 10.0, "Of each stretch.")
_DEPLOYMENTS = flags.DEFINE_list(
  "deployments", sorted(deployments.DEPLOYMENTS), "Deployments to measure."
)
_SCENARIOS = flags.DEFINE_list("scenarios", [], "Scenarios; all by default.")
_OUTPUT = flags.DEFINE_string("output", "out/bench.json", "Results as JSON.")

_QUICK_SCENARIOS = ("straggler", "config")
_QUICK_DURATION_S = 4.0
# Figures that a bound is set on, by bound: scenario, variant, figure.
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
  """A bound with the figure that it is set on.

  Attributes:
    bound: Name of the bound.
    deployment: Name of the deployment.
    figure: The measured figure.
    limit: The bound.
    held: True when the figure keeps the bound.
  """

  bound: str
  deployment: str
  figure: float
  limit: float
  held: bool


def judge(
  deployment: str, rows: Sequence[scenarios.Row], bounds: dict[str, dict]
) -> list[Verdict]:
  """Compares the figures of a deployment with the bounds."""
  verdicts = []
  for bound, (scenario, variant, figure) in _BOUND_FIGURES.items():
    limit, better = bounds[bound]["limit"], bounds[bound]["better"]
    found = [
      row.figures[figure]
      for row in rows
      if row.scenario == scenario and variant in ("", row.variant)
    ]
    if not found:
      continue
    worst = max(found) if better == "lower" else min(found)
    held = worst <= limit if better == "lower" else worst >= limit
    verdicts.append(Verdict(bound, deployment, worst, limit, held))
  return verdicts


def _make_options() -> scenarios.Options:
  quick = _QUICK.value
  return scenarios.Options(
    seed=_SEED.value,
    duration_s=_QUICK_DURATION_S if quick else _DURATION_S.value,
    rate=_RATE.value,
    quick=quick,
  )


def _choose_scenarios() -> list[str]:
  if _SCENARIOS.value:
    return _SCENARIOS.value
  return list(_QUICK_SCENARIOS if _QUICK.value else scenarios.SCENARIOS)


def _print_row(deployment: str, row: scenarios.Row) -> None:
  figures = "  ".join(f"{k} {v:.4g}" for k, v in row.figures.items())
  print(f"{deployment} {row.scenario} [{row.variant}]  {figures}", flush=True)


def main(_: list[str]) -> int:
  """Measures and compares with the bounds.

  Returns:
    0 when every bound is kept.
  """
  options = _make_options()
  path = pathlib.Path(__file__).parent / "bounds.json"
  bounds = json5.loads(path.read_text("utf-8"))
  names = _DEPLOYMENTS.value[:1] if options.quick else _DEPLOYMENTS.value
  results: dict[str, list[dict]] = {}
  verdicts: list[Verdict] = []
  for name in names:
    rows = []
    for scenario in _choose_scenarios():
      measure = scenarios.SCENARIOS[scenario]
      for row in measure(options, deployments.DEPLOYMENTS[name]):
        _print_row(name, row)
        rows.append(row)
    results[name] = [attrs.asdict(row) for row in rows]
    verdicts += judge(name, rows, bounds)
  for verdict in verdicts:
    word = "held" if verdict.held else "BROKEN"
    print(
      f"{word}: {verdict.deployment} {verdict.bound} "
      f"{verdict.figure:.4g} against {verdict.limit:g}"
    )
  output = pathlib.Path(_OUTPUT.value)
  output.parent.mkdir(parents=True, exist_ok=True)
  written = {
    "options": attrs.asdict(options),
    "results": results,
    "verdicts": [attrs.asdict(verdict) for verdict in verdicts],
  }
  output.write_text(json.dumps(written, indent=2), "utf-8")
  return 0 if all(verdict.held for verdict in verdicts) else 1


if __name__ == "__main__":
  sys.exit(app.run(main))
