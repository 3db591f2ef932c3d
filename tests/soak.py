"""A randomised run with overlapping faults that checks invariants.

The seed determines the schedule of faults.
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

from tests import fleet
from tests import forwarder
from tests import load
from tests.standins import records

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the schedule of faults.")
_DURATION_S = flags.DEFINE_float("duration_s", 60.0, "Duration of the load.")

NODE_COUNT = 5
SHARD_COUNT = 16
RECORD_COUNT = 2000
ZONE_OUT_LIMIT_S = 3.0
RECOVERY_TIMEOUT_S = 25.0
RESTORE_PERIOD_S = 15.0  # leaves time for owners to claim upstreams again


@attrs.frozen
class Fault:
  """A fault of the schedule.

  Attributes:
    start_s: Time from the start of the load to the fault, in seconds.
    length_s: Time until the fault is undone, in seconds.
    kind: Name of the function that injects the fault.
    target: Number that selects the node, upstream or variant.
  """

  start_s: float
  length_s: float
  kind: str
  target: int


_Injector = Callable[["Soak", int], Callable[[], None]]
_INJECTORS: dict[str, _Injector] = {}


def register_fault(injector: _Injector) -> _Injector:
  """Registers a function that injects a fault under the function's name.

  The function returns the function that undoes the fault. A seed selects from
  the names in sorted order, so a name that changes their order changes the
  schedule of each seed.
  """
  _INJECTORS[injector.__name__] = injector
  return injector


def make_schedule(seed: int, duration_s: float) -> list[Fault]:
  """Makes the schedule of a seed.

  Faults overlap, also those of the same kind. None starts in the last 8 s.
  Restores of the store are drawn separately, so that the other faults of a seed
  stay as they are.

  Args:
    seed: The seed.
    duration_s: Duration of the load.

  Returns:
    Faults in the order of their start.
  """
  random_numbers = random.Random(seed)
  kinds = sorted(_INJECTORS.keys() - {restore_store.__name__})
  schedule = []
  start_s = 1.0
  while start_s < duration_s - 8.0:
    kind = random_numbers.choice(kinds)
    length_s = random_numbers.uniform(1.0, 6.0)
    schedule.append(
      Fault(start_s, length_s, kind, random_numbers.randrange(1000))
    )
    start_s += random_numbers.uniform(0.3, 3.5)
  random_numbers = random.Random(f"restores of {seed}")
  start_s = random_numbers.uniform(2.0, RESTORE_PERIOD_S)
  while start_s < duration_s - 8.0:
    length_s = random_numbers.uniform(1.0, 6.0)
    schedule.append(Fault(start_s, length_s, restore_store.__name__, 0))
    start_s += random_numbers.uniform(0.5, 1.5) * RESTORE_PERIOD_S
  return sorted(schedule, key=lambda fault: fault.start_s)


class Soak:
  """One run.

  Args:
    seed: Seed of the schedule of faults and of the load.
    duration_s: Duration of the load.

  Attributes:
    fleet: The fleet.
    nodes: Names of the nodes.
    upstream_names: Names of the upstreams.
    records: Records of the first snapshot.
    snapshot: Number of the newest snapshot.
    store_outages: Wall times of start and end of each outage of the store; the
      end is recorded 2 s late.
    zone_outages: Name and wall times of start and end of each zone taken out.
    targets_in_use: Names of the nodes and upstreams that have a fault;
      "platform" or "zone" while the store is unavailable or a zone is out.
    last_revisions: Last revision of the configuration by name of node, since
      the node last started or had a fault.
    problems: Violations of invariants.
    forwarders: Forwarder to the store by name of node.
  """

  def __init__(self, seed: int, duration_s: float) -> None:
    self.seed, self.duration_s = seed, duration_s
    upstreams = [
      {
        "name": f"leaf-{replica}-{part}",
        "zone": "abc"[replica],
        "slots": 3,
        "shards": [s for s in range(SHARD_COUNT) if s % 2 == part],
      }
      for replica in range(3)
      for part in range(2)
    ]
    self.fleet = fleet.Fleet(
      nodes=NODE_COUNT,
      upstreams=upstreams,
      shards=SHARD_COUNT,
      records=RECORD_COUNT,
      zones=("a", "b", "c"),
    )
    self.nodes = list(self.fleet.settings)
    self.upstream_names = [
      upstream["name"] for upstream in self.fleet.upstreams
    ]
    self.records = records.make_records(7, RECORD_COUNT)
    self.snapshot = 1
    self.store_outages: list[tuple[float, float]] = []
    self.zone_outages: list[tuple[str, float, float]] = []
    self.targets_in_use: set[str] = set()
    self.last_revisions: dict[str, int] = {}
    self.problems: list[str] = []

  def run(self) -> list[str]:
    """Runs the load and the schedule; returns the violated invariants."""
    forwarders = self._start_forwarders()
    try:
      with self.fleet:
        self.fleet.apply(self.fleet.make_document())
        self.fleet.wait_until_warm()
        with load.Load(
          self.fleet, callers=4, action_share=0.2, seed=self.seed
        ) as caller_load:
          self._run_schedule()
        self._check(caller_load.records)
    finally:
      for store_forwarder in forwarders:
        store_forwarder.close()
    return self.problems

  def _start_forwarders(self) -> list[forwarder.Forwarder]:
    """Makes each node reach the store through a separate forwarder."""
    ports = fleet.find_ports(NODE_COUNT)
    self.forwarders = {
      name: forwarder.Forwarder(port, self.fleet.store_address)
      for name, port in zip(self.nodes, ports, strict=True)
    }
    for name, port in zip(self.nodes, ports, strict=True):
      address = f"127.0.0.1:{port}"
      self.fleet.settings[name]["platform_addresses"] = [address]
    return list(self.forwarders.values())

  def _run_schedule(self) -> None:
    started = time.monotonic()
    pending_undos: list[tuple[float, Callable[[], None]]] = []
    pending_faults = make_schedule(self.seed, self.duration_s)
    while time.monotonic() - started < self.duration_s:
      now_s = time.monotonic() - started
      while pending_faults and pending_faults[0].start_s <= now_s:
        fault = pending_faults.pop(0)
        undo = _INJECTORS[fault.kind](self, fault.target)
        pending_undos.append((now_s + fault.length_s, undo))
      for due in [e for e in pending_undos if e[0] <= now_s]:
        pending_undos.remove(due)
        due[1]()
      self._watch_revisions()
      time.sleep(0.1)
    for _, undo in pending_undos:
      undo()
    self._check_recovery()

  def _check_recovery(self) -> None:
    """Checks that all nodes give complete results after the last fault."""
    self.fleet.set_store_faults(down=False, slow_s=0.0, lose=0.0, lag_s=0.0)
    until = time.monotonic() + RECOVERY_TIMEOUT_S
    while time.monotonic() < until:
      replies = [self._try_search(node) for node in self.nodes]
      if all(replies):
        return
      time.sleep(0.3)
    self.problems.append(f"fleet did not recover, complete by node: {replies}")

  def _try_search(self, node: str) -> bool:
    with contextlib.suppress(Exception):
      return self.fleet.search(node, "groups", {})[1].get("complete", False)
    return False

  def _watch_revisions(self) -> None:
    """Checks that no node's configuration returns to an older revision."""
    for node in self.nodes:
      process = self.fleet.processes[node].popen
      if node in self.targets_in_use or process.poll() is not None:
        self.last_revisions.pop(node, None)
        continue
      try:
        revision = fleet.call(
          "GET", self.fleet.get_address(node), "/v1/status", timeout_s=1.0
        )[1]["config_revision"]
      except Exception:
        continue
      if revision < self.last_revisions.get(node, 0):
        self.problems.append(f"{node} returned to older revision {revision}")
      self.last_revisions[node] = revision

  def reserve_target(self, pool: list[str], target: int) -> str | None:
    """Reserves a node or upstream without a fault.

    Args:
      pool: Names to select from.
      target: Number that selects the name.

    Returns:
      The name, or None when at most half of the pool has no fault.
    """
    free = [name for name in pool if name not in self.targets_in_use]
    if len(free) <= len(pool) // 2:
      return None
    name = free[target % len(free)]
    self.targets_in_use.add(name)
    return name

  def _check(self, replies: list[load.RequestRecord]) -> None:
    """Checks the invariants after the run and prints a summary."""
    self._check_searches(replies)
    self._check_actions(replies)
    self._check_upstreams()
    for name in self.nodes:
      log = (self.fleet.path / f"{name}.log").read_text()
      if "AssertionError" in log or "task_failed" in log:
        self.problems.append(f"{name}: {log[-2000:]}")
    complete = sum(r.is_complete for r in replies)
    searches = sum(not r.key for r in replies)
    failed = sum(r.status == 0 for r in replies)
    print(
      f"seed {self.seed}: {searches} searches, {complete} complete, "
      f"{len(replies) - searches} actions, {failed} without a reply"
    )

  def _check_searches(self, replies: list[load.RequestRecord]) -> None:
    """Checks that results and coverage fit the shards reported as covered."""
    for reply in [r.reply for r in replies if r.status == 200 and not r.key]:
      snapshot_records = self.records[(reply["snapshot"] - 1) * 7 :]
      missing = reply["coverage"]["missing"]
      covered = tuple(
        (key, record)
        for key, record in snapshot_records
        if not any(low <= key < high for low, high in missing)
      )
      expected = json.loads(json.dumps(records.evaluate("groups", {}, covered)))
      if reply["result"] != expected:
        self.problems.append(f"wrong result of search {reply['request']}")
      if reply["coverage"]["covered"] != len(covered):
        self.problems.append(f"wrong coverage of search {reply['request']}")

  def _check_actions(self, replies: list[load.RequestRecord]) -> None:
    """Checks that no action ran twice and that replies tell if it ran."""
    executions = self.fleet.fetch_counts()["executions"]
    self.problems += [
      f"action {key} was executed {n} times"
      for key, n in executions.items()
      if n > 1
    ]
    for record in [r for r in replies if r.key]:
      was_executed = record.key in executions
      if record.reply.get("outcome") == "not_run" and was_executed:
        self.problems.append(
          f"action {record.key} was executed, reply: {record.reply}"
        )
      if record.status == 200 and not was_executed:
        self.problems.append(
          f"action {record.key} was not executed, reply: {record.reply}"
        )

  def _check_upstreams(self) -> None:
    """Checks the overload of cold upstreams and the requests to zones out.

    No cold upstream may be overloaded, and no upstream of a zone that is out
    may receive requests. A zone is not checked if the store had an outage
    between the change and the time limit for it.
    """
    counts = self.fleet.fetch_counts()["leaves"]
    self.problems += [
      f"{name} was overloaded {c['overloaded']} times while cold"
      for name, c in counts.items()
      if c["overloaded"]
    ]
    for zone, since, until in self.zone_outages:
      limit = since + ZONE_OUT_LIMIT_S
      if any(a < limit and b > since for a, b in self.store_outages):
        continue
      names = [n for n in counts if n.startswith(f"leaf-{'abc'.index(zone)}")]
      late = [
        (n, at) for n in names for at in counts[n]["log"] if limit < at < until
      ]
      if late:
        self.problems.append(
          f"zone {zone} out since {since}, requests at {late[:3]}"
        )


def _do_nothing() -> None:
  pass


@register_fault
def kill_node(soak: Soak, target: int) -> Callable[[], None]:
  """Kills a node, and starts it again at the end."""
  name = soak.reserve_target(soak.nodes, target)
  if name is None:
    return _do_nothing
  soak.fleet.processes[name].kill()

  def undo() -> None:
    soak.fleet.start_node(name)
    soak.targets_in_use.discard(name)

  return undo


@register_fault
def pause_node(soak: Soak, target: int) -> Callable[[], None]:
  """Pauses a node; its lease may expire in between."""
  name = soak.reserve_target(soak.nodes, target)
  if name is None:
    return _do_nothing
  soak.fleet.processes[name].send_signal(signal.SIGSTOP)

  def undo() -> None:
    soak.fleet.processes[name].send_signal(signal.SIGCONT)
    soak.targets_in_use.discard(name)

  return undo


@register_fault
def stop_node(soak: Soak, target: int) -> Callable[[], None]:
  """Stops a node gracefully, and starts it again at the end.

  More signals follow, as those of a change of its settings do.
  """
  name = soak.reserve_target(soak.nodes, target)
  if name is None:
    return _do_nothing
  process = soak.fleet.processes[name]
  for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
    process.send_signal(number)
    time.sleep(0.01)

  def undo() -> None:
    code = process.popen.wait(30)
    if code:
      soak.problems.append(f"{name} ended its stop with {code}")
    soak.fleet.start_node(name)
    soak.targets_in_use.discard(name)

  return undo


@register_fault
def disconnect_node(soak: Soak, target: int) -> Callable[[], None]:
  """Interrupts all connections of one node to the store."""
  name = soak.nodes[target % len(soak.nodes)]
  soak.forwarders[name].set_interrupted(True)
  return lambda: soak.forwarders[name].set_interrupted(False)


@register_fault
def make_store_unavailable(soak: Soak, _: int) -> Callable[[], None]:
  """Makes the store unavailable for all nodes."""
  if "platform" in soak.targets_in_use:
    return _do_nothing
  soak.targets_in_use.add("platform")
  since = time.time()
  soak.fleet.set_store_faults(down=True)

  def undo() -> None:
    soak.fleet.set_store_faults(down=False)
    soak.store_outages.append((since, time.time() + 2.0))
    soak.targets_in_use.discard("platform")

  return undo


@register_fault
def restore_store(soak: Soak, _: int) -> Callable[[], None]:
  """Copies the store, and restores the copy at the end.

  No zone is out meanwhile, since the copy decides on the state of zones.
  """
  if not soak.targets_in_use.isdisjoint(("zone", "platform")):
    return _do_nothing
  soak.targets_in_use.update(("zone", "platform"))
  since = time.time()
  soak.fleet.set_store_faults(copy=True)

  def undo() -> None:
    soak.fleet.set_store_faults(restore=True)
    soak.store_outages.append((since, time.time() + 2.0))
    soak.targets_in_use.difference_update(("zone", "platform"))

  return undo


@register_fault
def disturb_store(soak: Soak, target: int) -> Callable[[], None]:
  """Makes the store slow, lose responses to writes, or delay changes."""
  faults = [{"slow_s": 0.3}, {"lose": 0.4}, {"lag_s": 0.8}][target % 3]
  soak.fleet.set_store_faults(**faults)
  return lambda: soak.fleet.set_store_faults(**dict.fromkeys(faults, 0.0))


@register_fault
def end_leases(soak: Soak, _: int) -> Callable[[], None]:
  """Ends every lease at once."""
  soak.fleet.set_store_faults(end_leases=True)
  return _do_nothing


def _set_faults_of_upstream(soak: Soak, target: int, **faults: object):
  """Sets faults of one upstream; returns the function that clears them."""
  name = soak.reserve_target(soak.upstream_names, target)
  if name is None:
    return _do_nothing
  soak.fleet.set_upstream_faults(leaves={name: faults})

  def undo() -> None:
    soak.fleet.set_upstream_faults(leaves={name: {}})
    soak.targets_in_use.discard(name)

  return undo


@register_fault
def restart_upstream(soak: Soak, target: int) -> Callable[[], None]:
  """Restarts an upstream without a drain; it is cold afterwards."""
  return _set_faults_of_upstream(soak, target, restart=True)


@register_fault
def drain_upstream(soak: Soak, target: int) -> Callable[[], None]:
  """Drains an upstream; for even targets, its status does not report it."""
  return _set_faults_of_upstream(
    soak, target, draining=True, silent=target % 2 == 0
  )


@register_fault
def straggle_upstream(soak: Soak, target: int) -> Callable[[], None]:
  """Makes an upstream slow for a share of its requests."""
  return _set_faults_of_upstream(
    soak, target, straggle_share=0.3, straggle_s=0.6
  )


@register_fault
def send_wrong_replies(soak: Soak, target: int) -> Callable[[], None]:
  """Makes an upstream send wrong search replies."""
  kinds = ["truncate", "other_snapshot", "other_request", "duplicate"]
  return _set_faults_of_upstream(
    soak, target, answer=kinds[target % len(kinds)]
  )


@register_fault
def fail_upstream(soak: Soak, target: int) -> Callable[[], None]:
  """Makes an upstream fail half of its requests after executing them."""
  return _set_faults_of_upstream(soak, target, fail_share=0.5)


@register_fault
def change_snapshot(soak: Soak, _: int) -> Callable[[], None]:
  """Publishes the next snapshot, with other shards, beside the newest one."""
  soak.snapshot += 1
  soak.fleet.set_upstream_faults(snapshots=[soak.snapshot - 1, soak.snapshot])
  return _do_nothing


@register_fault
def take_zone_out(soak: Soak, target: int) -> Callable[[], None]:
  """Takes an availability zone out; puts it back in a separate thread.

  The thread makes this write race with other changes, as the write of another
  operator can.
  """
  if "zone" in soak.targets_in_use or "platform" in soak.targets_in_use:
    return _do_nothing
  soak.targets_in_use.add("zone")
  zone = "abc"[target % 3]
  soak.fleet.put(f"bronzefold/zones/{zone}", {"state": "out"})
  since = time.time()

  def undo() -> None:
    until = time.time()
    threading.Thread(
      target=soak.fleet.put, args=(f"bronzefold/zones/{zone}", {"state": "in"})
    ).start()
    soak.zone_outages.append((zone, since, until))
    soak.targets_in_use.discard("zone")

  return undo


def main(_: list[str]) -> int:
  """Prints the schedule, runs it and prints the violated invariants.

  Returns:
    0 if every invariant held, otherwise 1.
  """
  for fault in make_schedule(_SEED.value, _DURATION_S.value):
    print(
      f"{fault.start_s:7.1f} s  {fault.kind} {fault.target} "
      f"for {fault.length_s:.1f} s"
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
