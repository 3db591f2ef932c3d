"""The scenarios of the benchmark and their registry."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import statistics
import threading
import time

import anyio
import attrs

from bench import deployments
from bench import traffic
from tests import fleet

DEADLINE_MS = 210
_STRAGGLER_FAULTS = {"straggle_share": 0.01, "straggle_s": 0.15}
_SERVICE_S = 0.004
_OVERLOAD_SERVICE_S = 0.02
_SETTLE_S = 1.0


@attrs.frozen
class Options:
  """Options of a run.

  Attributes:
    seed: Seed of the traffic schedules.
    duration_s: Duration of each traffic phase, in seconds.
    rate: Searches per second; the machine must be able to sustain them.
    quick: True for a run of less than a minute.
  """

  seed: int
  duration_s: float
  rate: float
  quick: bool


@attrs.frozen
class Row:
  """Result of one variant of a scenario.

  Attributes:
    scenario: Name of the scenario.
    variant: Name of the variant or condition that was measured.
    figures: Measured values by name.
  """

  scenario: str
  variant: str
  figures: dict[str, float]


Scenario = Callable[[Options, deployments.Deployment], Iterator[Row]]
SCENARIOS: dict[str, Scenario] = {}


def register_scenario(scenario: Scenario) -> Scenario:
  """Registers a scenario under its function's name without ``measure_``."""
  SCENARIOS[scenario.__name__.removeprefix("measure_")] = scenario
  return scenario


# Settings of the nodes and limits of the document, for bronzefold ("tier") and
# for the baselines.
VARIANTS: dict[str, tuple[dict, dict]] = {
  "tier": ({}, {}),
  "direct": ({"direct": True}, {}),
  "plain": (
    {"routing_policy": "random"},
    {"hedge_share": 0.0, "retry_share": 0.0},
  ),
}


@contextlib.contextmanager
def run_fleet(
  deployment: deployments.Deployment,
  service_s: float,
  variant: str,
  nodes: int = 8,
) -> Iterator[fleet.Fleet]:
  """Runs the fleet of a variant, with its upstreams warm.

  Args:
    deployment: The deployment.
    service_s: Service time of an upstream per round of shards, in seconds.
    variant: Name of the variant.
    nodes: Number of nodes.

  Yields:
    The fleet.
  """
  settings, limits = VARIANTS[variant]
  created = deployments.make_fleet(deployment, service_s, nodes, settings)
  with created as running:
    document = deployments.make_document(running, deployment, **limits)
    running.apply(document)
    running.wait_until_warm()
    yield running


def send_traffic(
  running: fleet.Fleet, options: Options, rate: float, duration_s: float
) -> list[traffic.Sample]:
  """Sends searches to all nodes in turn.

  Args:
    running: The fleet.
    options: Options of the run.
    rate: Searches per second.
    duration_s: Time during which searches are started, in seconds.

  Returns:
    A sample for each search.
  """
  addresses = [running.get_address(name) for name in running.settings]
  load = traffic.Traffic(addresses, rate, duration_s, options.seed, DEADLINE_MS)
  return anyio.run(load.run, backend_options={"use_uvloop": True})


def summarize(
  samples: list[traffic.Sample],
  duration_s: float,
  deployment: deployments.Deployment,
) -> traffic.Summary:
  """Summarizes the samples of one traffic phase."""
  exchanges = deployments.count_exchanges(deployment)
  return traffic.summarize(samples, duration_s, DEADLINE_MS, exchanges)


@register_scenario
def measure_straggler(
  options: Options, deployment: deployments.Deployment
) -> Iterator[Row]:
  """Searches over 200 shards; 1 in 100 exchanges is a straggler."""
  for variant in VARIANTS:
    with run_fleet(deployment, _SERVICE_S, variant) as running:
      names = [leaf["name"] for leaf in running.upstreams]
      faults = {name: dict(_STRAGGLER_FAULTS) for name in names}
      running.set_upstream_faults(leaves=faults)
      samples = send_traffic(running, options, options.rate, options.duration_s)
    summary = summarize(samples, options.duration_s, deployment)
    figures = attrs.asdict(summary)
    figures["p99_over_leaf_median"] = summary.p99_ms / (_SERVICE_S * 1e3)
    yield Row("straggler", variant, figures)


@register_scenario
def measure_overload(
  options: Options, deployment: deployments.Deployment
) -> Iterator[Row]:
  """Goodput at 0.75, 1, 2 and 4 times the upstreams' capacity."""
  exchanges = deployments.count_exchanges(deployment)
  slots = deployment.upstreams * deployment.slots
  capacity = slots / _OVERLOAD_SERVICE_S / exchanges
  for variant in ("tier", "plain"):
    best = 0.0
    with run_fleet(deployment, _OVERLOAD_SERVICE_S, variant) as running:
      for factor in (0.75, 1, 2, 4):
        rate = capacity * factor
        samples = send_traffic(running, options, rate, options.duration_s)
        time.sleep(_SETTLE_S)
        summary = summarize(samples, options.duration_s, deployment)
        best = max(best, summary.goodput)
        figures = attrs.asdict(summary)
        figures["goodput_kept"] = summary.goodput / best if best else 0.0
        yield Row("overload", f"{variant} {factor}x", figures)


@register_scenario
def measure_zone(
  options: Options, deployment: deployments.Deployment
) -> Iterator[Row]:
  """Takes an availability zone out under load and back in."""
  zone = deployment.zones[0]
  with run_fleet(deployment, _SERVICE_S, "tier") as running:
    names = [leaf["name"] for leaf in running.upstreams if leaf["zone"] == zone]
    changed_at: dict[str, float] = {}

    def change_zone() -> None:
      time.sleep(options.duration_s / 4)
      running.put(f"bronzefold/zones/{zone}", {"state": "out"})
      changed_at["out"] = time.time()
      time.sleep(options.duration_s / 2)
      changed_at["in"] = time.time()
      running.put(f"bronzefold/zones/{zone}", {"state": "in"})

    thread = threading.Thread(target=change_zone)
    thread.start()
    samples = send_traffic(
      running, options, options.rate / 2, options.duration_s
    )
    thread.join()
    counts = running.fetch_counts()["leaves"]
  request_times = [at for name in names for at in counts[name]["log"]]
  while_out = [
    at for at in request_times if changed_at["out"] < at < changed_at["in"]
  ]
  after_return = [at for at in request_times if at > changed_at["in"]]
  figures = attrs.asdict(summarize(samples, options.duration_s, deployment))
  figures["time_to_none_s"] = (
    max(while_out, default=changed_at["out"]) - changed_at["out"]
  )
  figures["time_to_first_back_s"] = (
    min(after_return, default=0.0) - changed_at["in"]
  )
  yield Row("zone", "tier", figures)


@register_scenario
def measure_restart(
  options: Options, deployment: deployments.Deployment
) -> Iterator[Row]:
  """Restarts an upstream under load; it can handle one request while cold."""
  for variant in ("tier", "direct"):
    with run_fleet(deployment, _SERVICE_S, variant) as running:
      name = running.upstreams[0]["name"]

      def restart(running=running, name=name) -> None:
        time.sleep(options.duration_s / 4)
        running.set_upstream_faults(leaves={name: {"restart": True}})

      thread = threading.Thread(target=restart)
      thread.start()
      samples = send_traffic(running, options, options.rate, options.duration_s)
      thread.join()
      counts = running.fetch_counts()["leaves"][name]
    figures = attrs.asdict(summarize(samples, options.duration_s, deployment))
    figures["most_in_progress"] = counts["most_cold"]
    figures["over_bearable"] = counts["overloaded"]
    yield Row("restart", variant, figures)


@register_scenario
def measure_config(
  options: Options, deployment: deployments.Deployment
) -> Iterator[Row]:
  """Measures the time from a change's acceptance until all nodes apply it."""
  conditions = {
    "up": {},
    "slow": {"slow_s": 0.4},
    "lost replies": {"lose": 0.3},
  }
  repeats = 3 if options.quick else 10
  with run_fleet(deployment, _SERVICE_S, "tier") as running:
    for condition, faults in conditions.items():
      running.set_store_faults(**faults)
      times = [_time_change(running, number) for number in range(repeats)]
      running.set_store_faults(slow_s=0.0, lose=0.0)
      figures = {
        "median_s": statistics.median(times),
        "in_force_s": max(times),
      }
      yield Row("config", condition, figures)


def _time_change(running: fleet.Fleet, number: int) -> float:
  state = "out" if number % 2 else "in"
  revision = running.put("bronzefold/zones/z", {"state": state})
  accepted_at = time.monotonic()
  for name in running.settings:
    running.wait_for(
      lambda n=name: running.fetch_status(n)["zones"].get("z", 0) >= revision
    )
  return time.monotonic() - accepted_at


@register_scenario
def measure_cost(
  options: Options, deployment: deployments.Deployment
) -> Iterator[Row]:
  """Measures the CPU time of all nodes for one search over 200 shards."""
  for variant in ("tier", "direct"):
    with run_fleet(deployment, _SERVICE_S, variant) as running:
      before = _read_costs(running)
      samples = send_traffic(running, options, options.rate, options.duration_s)
      after = _read_costs(running)
    spent_s = sum(a["cpu_s"] for a in after) - sum(b["cpu_s"] for b in before)
    per_search_ms = spent_s * 1e3 / max(1, len(samples))
    exchanges = deployments.count_exchanges(deployment)
    yield Row(
      "cost",
      variant,
      {
        "cpu_ms_per_search": per_search_ms,
        "cpu_ms_per_exchange": per_search_ms / exchanges,
      },
    )


@register_scenario
def measure_control(
  options: Options, deployment: deployments.Deployment
) -> Iterator[Row]:
  """Measures CPU, memory and traffic of an idle node by fleet size."""
  sizes = (2, 8) if options.quick else (2, 4, 8, 16, 24)
  for nodes in sizes:
    with run_fleet(deployment, _SERVICE_S, "tier", nodes) as running:
      time.sleep(_SETTLE_S)
      before = _read_costs(running)
      time.sleep(options.duration_s)
      after = _read_costs(running)
    rates_per_s = [
      {key: (a[key] - b[key]) / options.duration_s for key in b}
      for a, b in zip(after, before, strict=True)
    ]
    yield Row(
      "control",
      f"{nodes} nodes",
      {
        "cpu_share": statistics.median(s["cpu_s"] for s in rates_per_s),
        "memory_mb": statistics.median(a["memory_mb"] for a in after),
        "bytes_per_s": statistics.median(s["bytes"] for s in rates_per_s),
        "platform_calls_per_s": statistics.median(
          s["calls"] for s in rates_per_s
        ),
      },
    )


def _read_costs(running: fleet.Fleet) -> list[dict[str, float]]:
  return [_read_cost(running, name) for name in running.settings]


def _read_cost(running: fleet.Fleet, name: str) -> dict[str, float]:
  process = pathlib.Path("/proc") / str(running.processes[name].popen.pid)
  fields = (process / "stat").read_text().rpartition(")")[2].split()
  status = (process / "status").read_text()
  resident = next(
    line for line in status.splitlines() if line.startswith("VmRSS")
  )
  ticks_per_s = 100
  node_status = running.fetch_status(name)
  return {
    "cpu_s": (int(fields[11]) + int(fields[12])) / ticks_per_s,
    "memory_mb": int(resident.split()[1]) / 1024,
    "bytes": node_status["control_bytes_sent"],
    "calls": node_status["platform_calls"],
  }
