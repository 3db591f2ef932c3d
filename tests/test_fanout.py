"""Fan-outs whose shards wait for a connection, without a network."""

import types
import unittest

import anyio

from bronzefold.core import budgets
from bronzefold.core import clock
from bronzefold.core import containment
from bronzefold.core import exceptions
from bronzefold.gateway import fanout
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import rollouts
from bronzefold.gateway import sending
from tests import gateways

BROKEN_CONNECTION = types.SimpleNamespace(
  is_closed=True, reusable=False, expires_at=0.0, close=lambda: None
)
SERVED = model.UpstreamResponse(200, (), b"", seal=b"s")


class ManualSender:
  """Starts attempts that the test ends."""

  def __init__(self):
    self.pending = []
    self.may_use_idle = []

  def start(
    self, request, upstream, _time_left_s, now, on_end, *, may_use_idle, **_
  ):
    self.may_use_idle.append(may_use_idle)
    upstream.pool.reserve()
    attempt = sending.Attempt(upstream, upstream.instance.service, now)
    self.pending.append((request, attempt, on_end))
    return attempt

  def abandon(self, attempt):
    attempt.is_abandoned = True

  def serve(self, service):
    """Ends the attempts at a service with a response; frees its connection."""
    ended = [item for item in self.pending if item[1].service == service]
    for item in ended:
      self.pending.remove(item)
      _, attempt, on_end = item
      attempt.upstream.pool.release(BROKEN_CONNECTION)
      attempt.outcome = sending.Outcome.SERVED
      attempt.response = SERVED
      attempt.ended_at = clock.read_monotonic()
      on_end(attempt)

  def crash(self, service):
    """Ends the attempts at a service by a crash of their upstreams."""
    ended = [item for item in self.pending if item[1].service == service]
    for item in ended:
      self.pending.remove(item)
      _, attempt, on_end = item
      attempt.upstream.pool.release(BROKEN_CONNECTION)
      attempt.outcome = sending.Outcome.UNKNOWN
      attempt.error = exceptions.UpstreamCrashedError("refused")
      attempt.ended_at = clock.read_monotonic()
      now = clock.read_monotonic()
      attempt.upstream.health.record_failure(now, is_unreachable=True)
      on_end(attempt)

  def list_sent(self, service):
    """Lists the ids of the requests in progress at a service."""
    return [
      request.id
      for request, attempt, _ in self.pending
      if attempt.service == service
    ]


class ScarceShardTest(unittest.IsolatedAsyncioTestCase):
  """One connection to the shard "scarce", and any number to "ample"."""

  async def asyncSetUp(self):
    upstreams = inventory.Inventory(
      lambda service: 1 if service == "scarce" else 100
    )
    now = clock.read_monotonic()
    for service in ("scarce", "ample"):
      instance = model.Instance(f"{service}-0", service, "10.0.0.1:1", "a")
      upstreams.register(instance, now)
    self.sender = ManualSender()
    budget = budgets.WindowBudget(ratio=0.2, slack=50.0, window_s=10.0)
    self.dependencies = fanout.Dependencies(
      sender=self.sender,
      upstreams=upstreams,
      rollouts=rollouts.Rollouts(),
      zone="a",
      get_retry_budget=lambda _: budget,
      latency_quantiles={},
      request_tokens=lambda *_: None,
    )

  async def start_search(self, tasks, name, min_coverage):
    """Starts a search over both shards."""
    now = clock.read_monotonic()
    route = model.Route(
      name="r",
      host="h",
      prefix="/",
      shards=("scarce", "ample"),
      is_idempotent=True,
      latency_objective_s=5.0,
      max_attempts=2,
      priority=1,
      top_k=1,
      min_coverage=min_coverage,
    )
    request = gateways.make_request(now, id=name, timeout_s=10.0)
    fan_out = fanout.FanOut(
      self.dependencies, request, route, route.shards, now + 10.0
    )
    tasks.start_soon(fan_out.run, now)
    await anyio.sleep(0.02)

  async def test_connection_goes_to_the_search_that_fails_without_it(self):
    async with anyio.create_task_group() as tasks:
      await self.start_search(tasks, b"first", 1.0)
      self.assertEqual(self.sender.list_sent("scarce"), [b"first"])
      await self.start_search(tasks, b"dispensable", 0.5)
      await self.start_search(tasks, b"needed", 1.0)
      self.assertEqual(self.dependencies.slot_queues.count_waiting(), 2)
      self.sender.serve("scarce")
      self.assertEqual(self.sender.list_sent("scarce"), [b"needed"])
      self.sender.serve("scarce")
      self.assertEqual(self.sender.list_sent("scarce"), [b"dispensable"])
      self.sender.serve("scarce")
      self.sender.serve("ample")


class CrashTest(unittest.IsolatedAsyncioTestCase):
  """Three shards with two upstreams each, under searches that crash them."""

  SHARDS = ("a", "b", "c")

  async def asyncSetUp(self):
    self.upstreams = inventory.Inventory(lambda _: 100)
    now = clock.read_monotonic()
    for service in self.SHARDS:
      for number in range(2):
        instance = model.Instance(
          f"{service}-{number}", service, "10.0.0.1:1", "a", "v2"
        )
        self.upstreams.register(instance, now)
    self.sender = ManualSender()
    self.rollouts = rollouts.Rollouts()
    self.blamed = []
    self.rollouts.record_attempt = lambda attempt, *_: self.blamed.append(
      attempt.service
    )
    budget = budgets.WindowBudget(ratio=0.2, slack=50.0, window_s=10.0)
    self.dependencies = fanout.Dependencies(
      sender=self.sender,
      upstreams=self.upstreams,
      rollouts=self.rollouts,
      zone="a",
      get_retry_budget=lambda _: budget,
      latency_quantiles={},
      request_tokens=lambda *_: None,
    )

  async def start_search(self, tasks, caution=containment.Caution.NONE):
    now = clock.read_monotonic()
    route = model.Route(
      name="r",
      host="h",
      prefix="/",
      shards=self.SHARDS,
      is_idempotent=True,
      latency_objective_s=5.0,
      max_attempts=2,
      top_k=1,
      min_coverage=0.6,
    )
    request = gateways.make_request(now, timeout_s=10.0)
    fan_out = fanout.FanOut(
      self.dependencies,
      request,
      route,
      route.shards,
      now + 10.0,
      caution=caution,
    )
    tasks.start_soon(fan_out.run, now)
    await anyio.sleep(0.02)
    return fan_out

  def list_services(self):
    return [attempt.service for _, attempt, _ in self.sender.pending]

  async def test_search_spares_the_other_replicas_if_all_its_shards_crash(self):
    with anyio.fail_after(2.0):
      async with anyio.create_task_group() as tasks:
        fan_out = await self.start_search(tasks)
        for service in self.SHARDS:
          self.sender.crash(service)
          await anyio.sleep(0.02)
    self.assertEqual([len(shard.attempts) for shard in fan_out.shards], [1] * 3)
    self.assertEqual(fan_out.withheld_counts["upstreams crashed"], 3)

  async def test_crashed_shards_are_retried_once_another_one_responds(self):
    with anyio.fail_after(2.0):
      async with anyio.create_task_group() as tasks:
        fan_out = await self.start_search(tasks)
        self.sender.crash("a")
        self.sender.crash("b")
        await anyio.sleep(0.02)
        self.assertEqual(self.list_services(), ["c"])
        self.sender.serve("c")
        await anyio.sleep(0.02)
        self.assertEqual(sorted(self.list_services()), ["a", "b"])
        self.sender.serve("a")
        self.sender.serve("b")
    self.assertEqual(len(fan_out.served_shards), 3)

  async def test_crashes_of_a_suspected_request_are_not_blamed_on_a_version(
    self,
  ):
    async with anyio.create_task_group() as tasks:
      await self.start_search(tasks)
      for service in self.SHARDS:
        self.sender.crash(service)
    self.assertEqual(self.blamed, ["a"])

  async def test_hedge_of_an_attempt_that_lost_its_connection_uses_a_new_one(
    self,
  ):
    """The upstream is still checked for a crash, so the attempt is pending."""
    with anyio.fail_after(4.0):
      async with anyio.create_task_group() as tasks:
        await self.start_search(tasks)
        self.sender.serve("c")
        for _, attempt, _ in self.sender.pending:
          attempt.error = exceptions.ConnectionLostError("reset")
        while len(self.sender.pending) < 4:
          await anyio.sleep(0.05)
        self.assertEqual(
          self.sender.may_use_idle, [True, True, True, False, False]
        )
        for service in self.SHARDS:
          self.sender.serve(service)

  async def test_probe_goes_to_one_shard_and_on_after_its_response(self):
    with anyio.fail_after(2.0):
      async with anyio.create_task_group() as tasks:
        await self.start_search(tasks, containment.Caution.PROBE)
        (probed,) = self.list_services()
        self.sender.serve(probed)
        await anyio.sleep(0.02)
        self.assertEqual(
          sorted([probed, *self.list_services()]), list(self.SHARDS)
        )
        for service in self.SHARDS:
          self.sender.serve(service)

  async def test_upstream_that_failed_lately_does_not_count_as_left(self):
    now = clock.read_monotonic()
    for service in self.SHARDS:
      health = self.upstreams.find(f"{service}-0").health
      health.record_failure(now - 10.0, is_unreachable=True)
    async with anyio.create_task_group() as tasks:
      await self.start_search(tasks, containment.Caution.PROBE)
    self.assertEqual(self.list_services(), [])

  async def test_probe_spares_the_last_usable_upstream_of_a_service(self):
    now = clock.read_monotonic()
    for service in self.SHARDS:
      health = self.upstreams.find(f"{service}-0").health
      health.record_failure(now, is_unreachable=True)
    async with anyio.create_task_group() as tasks:
      fan_out = await self.start_search(tasks, containment.Caution.PROBE)
    self.assertEqual(self.list_services(), [])
    self.assertFalse(fan_out.may_have_run)


if __name__ == "__main__":
  unittest.main()
