"""A seeded randomised run in which failures meet, with checked invariants.

The same seed gives the same schedule of faults.
"""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import json
import random
import signal
import sys
import threading
import time

from absl import app
from absl import flags
import attrs

from tests import cuts
from tests import fleet
from tests import load
from tests.standins import records

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the schedule of faults.")
_DURATION_S = flags.DEFINE_float("duration_s", 60.0, "Duration of the load.")

NODES = 5
SHARDS = 16
RECORDS = 2000
ZONE_BOUND_S = 3.0
RECOVERY_S = 25.0


@attrs.frozen
class Fault:
  """A fault of the schedule.

  Attributes:
    at_s: Time of its start.
    lasts_s: Time until it is taken back.
    kind: Name in the registry.
    target: Number that chooses the node or upstream.
  """

  at_s: float
  lasts_s: float
  kind: str
  target: int


_Injector = Callable[["Soak", int], Callable[[], None]]
_INJECTORS: dict[str, _Injector] = {}


def register_fault(injector: _Injector) -> _Injector:
  """Registers a fault; it returns the function that takes it back."""
  _INJECTORS[injector.__name__] = injector
  return injector


def make_schedule(seed: int, duration_s: float) -> list[Fault]:
  """Makes a schedule; at most two faults of a kind meet."""
  generator = random.Random(seed)
  kinds = sorted(_INJECTORS)
  schedule = []
  at_s = 1.0
  while at_s < duration_s - 8.0:
    kind = generator.choice(kinds)
    lasts_s = generator.uniform(1.0, 6.0)
    schedule.append(Fault(at_s, lasts_s, kind, generator.randrange(1000)))
    at_s += generator.uniform(0.3, 3.5)
  return schedule


class Soak:
  """One run."""

  def __init__(self, seed: int, duration_s: float) -> None:
    self.seed, self.duration_s = seed, duration_s
    leaves = [
      {
        "name": f"leaf-{replica}-{part}",
        "zone": "abc"[replica],
        "slots": 3,
        "shards": [s for s in range(SHARDS) if s % 2 == part],
      }
      for replica in range(3)
      for part in range(2)
    ]
    self.fleet = fleet.Fleet(
      nodes=NODES,
      leaves=leaves,
      shards=SHARDS,
      records=RECORDS,
      zones=("a", "b", "c"),
    )
    self.nodes = list(self.fleet.settings)
    self.names = [leaf["name"] for leaf in self.fleet.leaves]
    self.held = records.make_records(7, RECORDS)
    self.snapshot = 1
    self.platform_down: list[tuple[float, float]] = []
    self.zones_out: list[tuple[str, float, float]] = []
    self.busy: set[str] = set()
    self.highest: dict[str, int] = {}
    self.problems: list[str] = []

  def run(self) -> list[str]:
    """Runs the schedule; returns the invariants that did not hold."""
    forwarders = self._forward_platform()
    try:
      with self.fleet:
        self.fleet.apply(self.fleet.make_document())
        self.fleet.wait_warm()
        with load.Load(
          self.fleet, callers=4, action_share=0.2, seed=self.seed
        ) as running:
          self._run_schedule()
        self._check(running.records)
    finally:
      for forwarder in forwarders:
        forwarder.close()
    return self.problems

  def _forward_platform(self) -> list[cuts.Forwarder]:
    ports = fleet.find_ports(NODES)
    self.forwarders = {
      name: cuts.Forwarder(port, self.fleet.platform)
      for name, port in zip(self.nodes, ports, strict=True)
    }
    for name, port in zip(self.nodes, ports, strict=True):
      address = f"127.0.0.1:{port}"
      self.fleet.settings[name]["platform_addresses"] = [address]
    return list(self.forwarders.values())

  def _run_schedule(self) -> None:
    started = time.monotonic()
    endings: list[tuple[float, Callable[[], None]]] = []
    pending = make_schedule(self.seed, self.duration_s)
    while time.monotonic() - started < self.duration_s:
      now_s = time.monotonic() - started
      while pending and pending[0].at_s <= now_s:
        fault = pending.pop(0)
        undo = _INJECTORS[fault.kind](self, fault.target)
        endings.append((now_s + fault.lasts_s, undo))
      for ending in [e for e in endings if e[0] <= now_s]:
        endings.remove(ending)
        ending[1]()
      self._watch_revisions()
      time.sleep(0.1)
    for _, undo in endings:
      undo()
    self._heal()

  def _heal(self) -> None:
    """Checks that the fleet recovers once every fault is taken back."""
    self.fleet.set_platform_faults(down=False, slow_s=0.0, lose=0.0, lag_s=0.0)
    until = time.monotonic() + RECOVERY_S
    while time.monotonic() < until:
      replies = [self._try_search(node) for node in self.nodes]
      if all(replies):
        return
      time.sleep(0.3)
    self.problems.append(f"no recovery: {replies}")

  def _try_search(self, node: str) -> bool:
    with contextlib.suppress(Exception):
      return self.fleet.search(node, "groups", {})[1].get("complete", False)
    return False

  def _watch_revisions(self) -> None:
    """Checks that no node's configuration goes back."""
    for node in self.nodes:
      process = self.fleet.processes[node].popen
      if node in self.busy or process.poll() is not None:
        self.highest.pop(node, None)
        continue
      try:
        revision = fleet.call(
          "GET", self.fleet.address(node), "/v1/status", timeout_s=1.0
        )[1]["config_revision"]
      except Exception:
        continue
      if revision < self.highest.get(node, 0):
        self.problems.append(f"{node} went back to revision {revision}")
      self.highest[node] = revision

  def take(self, pool: list[str], target: int) -> str | None:
    """Takes a node or upstream that no fault has, while others are left."""
    free = [name for name in pool if name not in self.busy]
    if len(free) <= len(pool) // 2:
      return None
    name = free[target % len(free)]
    self.busy.add(name)
    return name

  def _check(self, replies: list[load.Record]) -> None:
    self._check_answers(replies)
    self._check_actions(replies)
    self._check_upstreams()
    for name in self.nodes:
      log = (self.fleet.path / f"{name}.log").read_text()
      if "AssertionError" in log or "task_failed" in log:
        self.problems.append(f"{name}: {log[-2000:]}")
    complete = sum(r.complete for r in replies)
    searches = sum(not r.key for r in replies)
    failed = sum(r.status == 0 for r in replies)
    print(
      f"seed {self.seed}: {searches} searches, {complete} complete, "
      f"{len(replies) - searches} actions, {failed} without a reply"
    )

  def _check_answers(self, replies: list[load.Record]) -> None:
    for reply in [r.reply for r in replies if r.status == 200 and not r.key]:
      held = self.held[(reply["snapshot"] - 1) * 7 :]
      missing = reply["coverage"]["missing"]
      covered = tuple(
        (key, record)
        for key, record in held
        if not any(low <= key < high for low, high in missing)
      )
      wanted = json.loads(json.dumps(records.evaluate("groups", {}, covered)))
      if reply["result"] != wanted:
        self.problems.append(f"wrong answer to {reply['request']}")
      if reply["coverage"]["covered"] != len(covered):
        self.problems.append(f"untrue coverage of {reply['request']}")

  def _check_actions(self, replies: list[load.Record]) -> None:
    executions = self.fleet.counts()["executions"]
    self.problems += [
      f"{key} ran {n} times" for key, n in executions.items() if n > 1
    ]
    for record in [r for r in replies if r.key]:
      ran = record.key in executions
      if record.reply.get("outcome") == "not_run" and ran:
        self.problems.append(f"{record.key} ran after all: {record.reply}")
      if record.status == 200 and not ran:
        self.problems.append(f"{record.key} did not run: {record.reply}")

  def _check_upstreams(self) -> None:
    leaves = self.fleet.counts()["leaves"]
    self.problems += [
      f"{name} was overloaded {c['overloaded']} times while cold"
      for name, c in leaves.items()
      if c["overloaded"]
    ]
    for zone, since, until in self.zones_out:
      bound = since + ZONE_BOUND_S
      if any(a < bound and b > since for a, b in self.platform_down):
        continue
      names = [n for n in leaves if n.startswith(f"leaf-{'abc'.index(zone)}")]
      late = [
        (n, at) for n in names for at in leaves[n]["log"] if bound < at < until
      ]
      if late:
        self.problems.append(
          f"zone {zone} out since {since}, work at {late[:3]}"
        )


def _do_nothing() -> None:
  pass


@register_fault
def kill_node(soak: Soak, target: int) -> Callable[[], None]:
  """Kills a node and starts it again."""
  name = soak.take(soak.nodes, target)
  if name is None:
    return _do_nothing
  soak.fleet.processes[name].kill()

  def undo() -> None:
    soak.fleet.start_node(name)
    soak.busy.discard(name)

  return undo


@register_fault
def pause_node(soak: Soak, target: int) -> Callable[[], None]:
  """Pauses a node, perhaps past its lease."""
  name = soak.take(soak.nodes, target)
  if name is None:
    return _do_nothing
  soak.fleet.processes[name].send(signal.SIGSTOP)

  def undo() -> None:
    soak.fleet.processes[name].send(signal.SIGCONT)
    soak.busy.discard(name)

  return undo


@register_fault
def stop_node(soak: Soak, target: int) -> Callable[[], None]:
  """Stops a node gracefully and starts it again."""
  name = soak.take(soak.nodes, target)
  if name is None:
    return _do_nothing
  soak.fleet.processes[name].send(signal.SIGTERM)

  def undo() -> None:
    soak.fleet.processes[name].popen.wait(30)
    soak.fleet.start_node(name)
    soak.busy.discard(name)

  return undo


@register_fault
def cut_platform(soak: Soak, target: int) -> Callable[[], None]:
  """Cuts one node off from the platform."""
  name = soak.nodes[target % len(soak.nodes)]
  soak.forwarders[name].set_cut(True)
  return lambda: soak.forwarders[name].set_cut(False)


@register_fault
def lose_platform(soak: Soak, _: int) -> Callable[[], None]:
  """Takes the platform down for all nodes."""
  if "platform" in soak.busy:
    return _do_nothing
  soak.busy.add("platform")
  since = time.time()
  soak.fleet.set_platform_faults(down=True)

  def undo() -> None:
    soak.fleet.set_platform_faults(down=False)
    soak.platform_down.append((since, time.time() + 2.0))
    soak.busy.discard("platform")

  return undo


@register_fault
def disturb_platform(soak: Soak, target: int) -> Callable[[], None]:
  """Makes the platform slow, lossy or lagging."""
  faults = [{"slow_s": 0.3}, {"lose": 0.4}, {"lag_s": 0.8}][target % 3]
  soak.fleet.set_platform_faults(**faults)
  return lambda: soak.fleet.set_platform_faults(**dict.fromkeys(faults, 0.0))


@register_fault
def end_leases(soak: Soak, _: int) -> Callable[[], None]:
  """Ends every lease at once."""
  soak.fleet.set_platform_faults(end_leases=True)
  return _do_nothing


def _set_upstream(soak: Soak, target: int, **faults: object):
  name = soak.take(soak.names, target)
  if name is None:
    return _do_nothing
  soak.fleet.set_upstream_faults(leaves={name: faults})

  def undo() -> None:
    soak.fleet.set_upstream_faults(leaves={name: {}})
    soak.busy.discard(name)

  return undo


@register_fault
def restart_upstream(soak: Soak, target: int) -> Callable[[], None]:
  """Restarts an upstream without warning; it is cold."""
  return _set_upstream(soak, target, restart=True)


@register_fault
def drain_upstream(soak: Soak, target: int) -> Callable[[], None]:
  """Drains an upstream, with or without saying so in its reports."""
  return _set_upstream(soak, target, draining=True, silent=target % 2 == 0)


@register_fault
def straggle(soak: Soak, target: int) -> Callable[[], None]:
  """Makes an upstream straggle."""
  return _set_upstream(soak, target, straggle_share=0.3, straggle_s=0.6)


@register_fault
def spoil_answers(soak: Soak, target: int) -> Callable[[], None]:
  """Makes an upstream send wrong answers."""
  kinds = ["truncate", "other_snapshot", "other_request", "duplicate"]
  return _set_upstream(soak, target, answer=kinds[target % len(kinds)])


@register_fault
def fail_upstream(soak: Soak, target: int) -> Callable[[], None]:
  """Makes an upstream fail after it has run requests."""
  return _set_upstream(soak, target, fail_share=0.5)


@register_fault
def change_snapshot(soak: Soak, _: int) -> Callable[[], None]:
  """Publishes the next snapshot, with other shards, beside the last one."""
  soak.snapshot += 1
  soak.fleet.set_upstream_faults(snapshots=[soak.snapshot - 1, soak.snapshot])
  return _do_nothing


@register_fault
def take_zone_out(soak: Soak, target: int) -> Callable[[], None]:
  """Takes an availability zone out while another operator races."""
  if "zone" in soak.busy or "platform" in soak.busy:
    return _do_nothing
  soak.busy.add("zone")
  zone = "abc"[target % 3]
  soak.fleet.put(f"bronzefold/zones/{zone}", {"state": "out"})
  since = time.time()

  def undo() -> None:
    until = time.time()
    threading.Thread(
      target=soak.fleet.put, args=(f"bronzefold/zones/{zone}", {"state": "in"})
    ).start()
    soak.zones_out.append((zone, since, until))
    soak.busy.discard("zone")

  return undo


def main(_: list[str]) -> int:
  """Runs a soak and prints what it found.

  Returns:
    0 when every invariant held.
  """
  for fault in make_schedule(_SEED.value, _DURATION_S.value):
    print(
      f"{fault.at_s:7.1f} s  {fault.kind} {fault.target} "
      f"for {fault.lasts_s:.1f} s"
    )
  problems = Soak(_SEED.value, _DURATION_S.value).run()
  for problem in problems:
    print(f"PROBLEM {problem}")
  print(
    f"{len(problems)} problems; again with: make soak SEED={_SEED.value} "
    f"DURATION_S={_DURATION_S.value:g}"
  )
  return 1 if problems else 0


if __name__ == "__main__":
  sys.exit(app.run(main))
