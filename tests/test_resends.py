"""A request that one upstream refuses and then gets again."""

import unittest

import anyio

from bronzefold.core import budgets
from bronzefold.core import clock
from bronzefold.gateway import fanout
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import reach
from bronzefold.gateway import rollouts
from bronzefold.gateway import sending
from bronzefold.platform import upstreams
from bronzefold.upstreams import channel
from tests import gateways
from tests.standins import listeners
from tests.standins import site as sites


class RepeatingUpstream:
  """Refuses a request on its first arrival, and serves it after that.

  Where the next response is expected on the connection of a refusal, it sends
  the refusal once more.

  Attributes:
    executed: Ids of the requests that it has run.
    connections: Count of the connections that were opened.
  """

  def __init__(self, status, has_id=True):
    self.executed = []
    self.connections = 0
    self._status = status
    self._has_id = has_id
    self._refused = set()

  async def serve(self, reader, writer):
    self.connections += 1
    repeated = b""
    while (request := await sites.read_request(reader)) is not None:
      request_id = request.headers["bronzefold-request-id"]
      echo = {"Bronzefold-Request-Id": request_id}
      writer.write(repeated)
      repeated = b""
      if request_id in self._refused:
        self.executed.append(request_id)
        seal = {"Bronzefold-Response-Seal": f"seal.{request_id}"}
        writer.write(sites.format_response(200, {**echo, **seal}, b"done"))
        continue
      self._refused.add(request_id)
      refusal = {"Bronzefold-Not-Executed": "1"}
      writer.write(sites.format_response(self._status, {**echo, **refusal}))
      if self._has_id:
        refusal.update(echo)
      repeated = sites.format_response(self._status, refusal)


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
  """An action is sent again to the upstream that refused it."""

  def register(self, address, max_connections):
    self.inventory = inventory.Inventory(lambda _: max_connections)
    instance = model.Instance("i", "s", address, "a")
    self.inventory.register(instance, clock.read_monotonic())

  async def send_actions(self, ids):
    """Sends actions one after the other; returns their shards."""
    budget = budgets.WindowBudget(ratio=0.2, slack=50.0, window_s=10.0)
    route = model.Route(
      name="r",
      host="h",
      prefix="/",
      is_idempotent=False,
      latency_objective_s=5.0,
      max_attempts=3,
    )
    shards = []
    async with anyio.create_task_group() as tasks:
      dependencies = fanout.Dependencies(
        sender=sending.Sender(
          upstreams.UpstreamProtocol(), tasks, lambda *_: None, reach.Reach()
        ),
        upstreams=self.inventory,
        rollouts=rollouts.Rollouts(),
        zone="a",
        get_retry_budget=lambda _: budget,
        latency_quantiles={},
        request_tokens=lambda *_: None,
      )
      for name in ids:
        now = clock.read_monotonic()
        request = gateways.make_request(now, id=name, method=b"POST")
        fan_out = fanout.FanOut(dependencies, request, route, ("s",), now + 2.0)
        await fan_out.run(now)
        shards.extend(fan_out.shards)
      tasks.cancel_scope.cancel()
    self.inventory.find("i").pool.close()
    return shards

  async def check(self, upstream, max_connections=3):
    """Sends actions; those that ran are served, and none is said not to run."""
    self.register(await listeners.listen(self, upstream.serve), max_connections)
    ids = [b"r%d" % number for number in range(4)]
    shards = await self.send_actions(ids)
    for name, shard in zip(ids, shards, strict=True):
      with self.subTest(request=name):
        self.assertEqual(upstream.executed.count(name.decode()), 1)
        self.assertTrue(shard.may_have_run)
        self.assertIsNotNone(shard.part)

  async def test_late_copy_of_a_refusal_is_not_taken_for_the_next_one(self):
    """Guards against refusing, as not run, an action that runs (REFUSED)."""
    for status in (503, 429, 408, 400):
      with self.subTest(status=status):
        await self.check(RepeatingUpstream(status))

  async def test_refusal_that_names_no_request_is_no_promise(self):
    """Guards against a copy of a refusal that has lost its id (REFUSED)."""
    await self.check(RepeatingUpstream(503, has_id=False))

  async def test_upstream_with_one_connection_gets_the_action_on_a_new_one(
    self,
  ):
    upstream = RepeatingUpstream(503)
    await self.check(upstream, max_connections=1)
    self.assertLessEqual(upstream.connections, 5)


class ExcludedConnectionTest(unittest.IsolatedAsyncioTestCase):
  """Which idle connection of a pool is used, and which one is closed."""

  async def asyncSetUp(self):
    async def accept(reader, writer):
      del writer
      await reader.read()

    address = await listeners.listen(self, accept)
    self.pool = channel.ChannelPool(address, limit=2)
    self.addCleanup(self.pool.close)

  async def add_idle(self, count):
    opened = []
    for _ in range(count):
      self.pool.reserve()
      opened.append(await self.pool.open(1.0))
    for connection in opened:
      self.pool.release(connection)
    return opened

  def acquire(self, excluded):
    now = clock.read_monotonic()
    return self.pool.acquire_idle(now, excluded=excluded)

  async def test_other_connection_is_used_and_the_excluded_one_kept(self):
    first, second = await self.add_idle(2)
    self.assertIs(self.acquire([second]), first)
    self.assertFalse(second.is_closed)
    self.assertIs(self.acquire([]), second)
    self.pool.release(first)
    self.pool.release(second)

  async def test_excluded_connection_makes_room_at_the_limit(self):
    first, second = await self.add_idle(2)
    self.assertIsNone(self.acquire([first, second]))
    self.assertEqual([first.is_closed, second.is_closed].count(True), 1)
    self.assertTrue(self.pool.has_capacity)

  async def test_excluded_connection_stays_below_the_limit(self):
    (only,) = await self.add_idle(1)
    self.assertIsNone(self.acquire([only]))
    self.assertFalse(only.is_closed)


if __name__ == "__main__":
  unittest.main()
