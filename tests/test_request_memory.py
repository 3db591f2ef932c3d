"""Bodies of callers' requests and the memory of all messages."""

import types
import unittest

from bronzefold.core import exceptions
from bronzefold.core import memory
from bronzefold.gateway import application
from bronzefold.gateway import model
from tests import gateways

KIB = 1024


class RequestBodyTest(unittest.IsolatedAsyncioTestCase):
  """A request whose body arrives in pieces."""

  def setUp(self):
    self.budget = memory.MemoryBudget(1000 * KIB)

  async def read(self, pieces):
    async def receive():
      body = pieces.pop(0)
      return {"type": "http.request", "body": body, "more_body": bool(pieces)}

    allocation = self.budget.hold()
    body = await application._read_body(receive, 256 * KIB, allocation)
    return body, allocation

  async def test_small_pieces_are_one_buffer(self):
    body, _ = await self.read([b"ab"] * 5000)
    self.assertEqual(body, b"ab" * 5000)
    self.assertEqual(self.budget.used_bytes, 10_000)

  async def test_bodies_are_refused_once_their_sum_is_too_large(self):
    """Guards against passing on a part of a body as if it were whole."""
    held = [await self.read([b"x" * 100 * KIB, b"x" * 50 * KIB])]
    for _ in range(4):
      held.append(await self.read([b"x" * 150 * KIB]))
    with self.assertRaises(exceptions.MemoryExhaustedError):
      await self.read([b"x" * 100 * KIB, b"x" * 50 * KIB])
    held.clear()
    self.assertEqual(self.budget.used_bytes, 0)

  async def test_caller_is_told_that_nothing_ran(self):
    self.budget.limit_bytes = 0
    sent = []

    async def receive():
      return {"type": "http.request", "body": b"x", "more_body": False}

    async def send(message):
      sent.append(message)

    gateway = types.SimpleNamespace(
      memory=self.budget, get_caller_limits=model.CallerLimits
    )
    protocol = types.SimpleNamespace(
      encode_headers=lambda response: [
        *response.headers,
        (b"retry-after", b"%g" % response.retry_after_s),
      ]
    )
    served = application.Application(
      gateways.make_settings(), gateway, None, protocol
    )
    scope = {"server": ("127.0.0.1", 1)}
    await served(scope, receive, send)
    self.assertEqual(sent[0]["status"], 503)
    self.assertIn((b"retry-after", b"0.3"), sent[0]["headers"])


if __name__ == "__main__":
  unittest.main()
