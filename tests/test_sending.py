"""How the outcome of one request changes the health of its upstream."""

import asyncio
import unittest

import anyio

from bronzefold.core import clock
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import reach
from bronzefold.gateway import sending
from bronzefold.platform import upstreams
from bronzefold.upstreams import channel
from tests import gateways


class AbandonTest(unittest.IsolatedAsyncioTestCase):
  """Requests that are abandoned while the upstream works on them."""

  async def asyncSetUp(self):
    async def read_without_response(reader, writer):
      await reader.read()
      writer.close()

    server = await asyncio.start_server(read_without_response, "127.0.0.1", 0)
    self.addAsyncCleanup(server.wait_closed)
    self.addCleanup(server.close)
    port = server.sockets[0].getsockname()[1]
    address = f"127.0.0.1:{port}"
    instance = model.Instance("i", "s", address, "a")
    pool = channel.ChannelPool(address, 3)
    self.upstream = inventory.Upstream(instance, pool)

  async def abandon(self):
    """Sends a request and abandons it; returns the ended attempt."""
    ended = anyio.Event()
    async with anyio.create_task_group() as tasks:
      sender = sending.Sender(
        upstreams.UpstreamProtocol(), tasks, lambda *_: None, reach.Reach()
      )
      now = clock.read_monotonic()
      attempt = sender.start(
        gateways.make_request(now),
        self.upstream,
        5.0,
        now,
        lambda _: ended.set(),
        may_use_idle=True,
      )
      await anyio.sleep(0.05)
      sender.abandon(attempt)
      with anyio.fail_after(1.0):
        await ended.wait()
    return attempt

  async def test_abandoned_within_normal_latency_is_no_failure(self):
    self.upstream.health.record_success(2.0, clock.read_monotonic())
    for _ in range(5):
      attempt = await self.abandon()
      self.assertIs(attempt.outcome, sending.Outcome.UNKNOWN)
    self.assertEqual(self.upstream.health.failures, 0)

  async def test_abandoned_after_stall_counts_as_failure(self):
    for _ in range(30):
      self.upstream.health.record_success(0.01, clock.read_monotonic())
    await self.abandon()
    self.assertEqual(self.upstream.health.failures, 1)


if __name__ == "__main__":
  unittest.main()
