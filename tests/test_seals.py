"""Bytes that upstreams send in place of a response, and what callers get."""

import asyncio
import unittest

import anyio
from expression import Ok

from bronzefold.core import clock
from bronzefold.core import exceptions
from bronzefold.core import memory
from bronzefold.gateway import gateway as gateways_
from bronzefold.gateway import model
from bronzefold.gateway import relay
from bronzefold.platform import upstreams
from bronzefold.upstreams import channel
from bronzefold.upstreams import connection
from tests import gateways
from tests.standins import listeners
from tests.standins import site as sites

NOISE = bytes(range(256)) * 2
ID = "Bronzefold-Request-Id"
SEAL = "Bronzefold-Response-Seal"


def write_noise(request_id):
  """The head names neither request nor length; the connection ends it."""
  del request_id
  return b"HTTP/1.1 200 OK\r\n\r\n" + NOISE


def write_framed_noise(request_id):
  del request_id
  return sites.format_response(200, {}, NOISE)


def make_writer(status, **headers):
  """Makes a function that writes a response which names the request."""

  def write(request_id):
    return sites.format_response(status, {ID: request_id, **headers}, NOISE)

  return write


def write_two_seals(request_id):
  headers = {ID: request_id, SEAL: "one", SEAL.lower(): "two"}
  return sites.format_response(200, headers, NOISE)


SEALED = {SEAL: "seal.1"}
# What is no response of an upstream, by what is wrong with it.
UNSOUND = {
  "a head without headers, and noise": write_noise,
  "noise with a length": write_framed_noise,
  "a success without a seal": make_writer(200),
  "another success without a seal": make_writer(206),
  "a failure without a seal": make_writer(500),
  "a status of the node's own without a seal": make_writer(404),
  "a redirection without a seal": make_writer(302),
  "a promise that the upstream does not make": make_writer(503),
  "another promise that it does not make": make_writer(429),
  "a promise with a seal": make_writer(503, **SEALED),
  "a success that did not run": make_writer(
    200, **{"Bronzefold-Not-Executed": "1"}
  ),
  "an empty seal": make_writer(200, **{SEAL: ""}),
  "a seal that would be two in a list": make_writer(200, **{SEAL: "a, b"}),
  "two seals": write_two_seals,
  "a status of no class": make_writer(600, **SEALED),
  "an encoded body": make_writer(200, **SEALED, **{"Content-Encoding": "gzip"}),
}

SERVICE = {"weighted_services": (model.WeightedService("s", 1.0),)}
CONFIGURATION = model.Configuration(
  1,
  tuple(
    model.Route(
      name=name,
      host="shop.example",
      prefix=f"/{name}/",
      is_idempotent=name != "once",
      timeout_s=3.0,
      latency_objective_s=3.0,
      max_attempts=2,
      **service,
    )
    for name, service in (
      ("once", SERVICE),
      ("plain", SERVICE),
      ("search", {"shards": ("s",), "top_k": 5}),
    )
  ),
  {"s": model.Service("s", max_connections=100)},
)


class UnsoundResponseTest(unittest.IsolatedAsyncioTestCase):
  """A service of two upstreams, of which the first ones asked spoil."""

  async def asyncSetUp(self):
    self.write = None
    self.spoiling_count = 0
    self.addresses = [await listeners.listen(self, self.serve) for _ in "ab"]

  async def serve(self, reader, writer):
    while (request := await sites.read_request(reader)) is not None:
      request_id = request.headers["bronzefold-request-id"]
      if self.spoiling_count:
        self.spoiling_count -= 1
        writer.write(self.write(request_id))
        return
      headers = {ID: request_id, SEAL: f"seal.{request_id}"}
      writer.write(sites.format_response(200, headers, b"whole"))

  async def send(self, path, write, spoiling_count):
    """Sends a request by a new gateway; the first responses are unsound."""
    self.write, self.spoiling_count = write, spoiling_count
    async with anyio.create_task_group() as tasks:
      gateway = gateways_.Gateway(
        gateways.make_settings(retry_slack=500.0, is_first_start=True),
        upstreams.UpstreamProtocol(),
        tasks,
      )
      now = clock.read_monotonic()
      gateway.set_configuration(CONFIGURATION, now)
      for number, address in enumerate(self.addresses):
        instance = model.Instance(f"i-{number}", "s", address, "a")
        gateway.upstreams.register(instance, now)
      request = gateways.make_request(
        now, id=b"r-1", path=path, target=path.encode(), timeout_s=3.0
      )
      response = await gateway.handle_request(request)
      for upstream in gateway.upstreams.list_all():
        upstream.pool.close()
      tasks.cancel_scope.cancel()
    return response

  async def test_it_is_not_passed_on_to_the_caller_of_an_action(self):
    """Guards against a success or a promise that no upstream made (MIXED)."""
    for name, write in UNSOUND.items():
      with self.subTest(response=name):
        response = await self.send("/once/", write, spoiling_count=1)
        self.assertIn(response.status, (502, 504))
        self.assertEqual((response.seal, response.body), (b"", b""))

  async def test_another_upstream_answers_a_repeatable_request(self):
    for path in ("/plain/", "/search/"):
      for name, write in UNSOUND.items():
        with self.subTest(response=name, path=path):
          response = await self.send(path, write, spoiling_count=1)
          self.assertEqual(response.status, 200)
          self.assertIn(b"seal.r-1", (response.seal, *response.seals))

  async def test_it_is_not_passed_on_if_all_upstreams_send_it(self):
    for path in ("/plain/", "/search/"):
      for name, write in UNSOUND.items():
        with self.subTest(response=name, path=path):
          response = await self.send(path, write, spoiling_count=99)
          self.assertIn(response.status, (502, 503, 504))
          self.assertEqual((response.seal, response.body), (b"", b""))

  async def test_sealed_failure_is_passed_on(self):
    write = make_writer(500, **SEALED)
    response = await self.send("/once/", write, spoiling_count=99)
    self.assertEqual((response.status, response.seal), (500, b"seal.1"))
    self.assertEqual(response.body, NOISE)


class RelayedResponseTest(unittest.TestCase):
  """A response of another node, which may be of an earlier build."""

  def read(self, response):
    return relay.read_outcome(Ok(relay.RelayedResponse("c", response)))

  def test_success_without_a_seal_is_not_passed_on(self):
    self.assertEqual(self.read(model.Response(200, body=b"x")).status, 502)

  def test_sealed_success_is_passed_on(self):
    for sealed in ({"seal": b"s"}, {"seals": (b"s", b"t")}):
      self.assertEqual(self.read(model.Response(200, **sealed)).status, 200)


class ClosedHereTest(unittest.IsolatedAsyncioTestCase):
  """A body without a length that this node itself cuts off."""

  async def test_it_is_not_whole(self):
    sent = asyncio.Event()

    async def serve(reader, writer):
      await sites.read_request(reader)
      writer.write(b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nhalf")
      sent.set()
      await reader.read()

    address = await listeners.listen(self, serve)
    opened = await channel.open_channel(
      address, 1.0, memory.MemoryBudget(1 << 20)
    )
    outcome = opened.start(b"GET / HTTP/1.1\r\n\r\n", lambda _: True)
    await sent.wait()
    await asyncio.sleep(0.05)
    opened.close()
    with self.assertRaises(exceptions.ConnectionLostError):
      await outcome


class OwnerConnectionTest(unittest.IsolatedAsyncioTestCase):
  """The connection of the product's own interface."""

  async def exchange(self, headers, status=200):
    async def serve(reader, writer):
      request = await sites.read_request(reader)
      echo = {"X-Request-Id": request.headers["x-request-id"]}
      writer.write(sites.format_response(status, {**echo, **headers}, NOISE))

    opened = connection.UpstreamConnection(await listeners.listen(self, serve))
    self.addAsyncCleanup(opened.close)
    return await opened.send(connection.Exchange("e", "/v1/x", b"{}", 1.0, "k"))

  async def test_reply_that_names_no_instance_is_malformed(self):
    """Guards against a reply, or a refusal, that no upstream has sent."""
    for headers in ({}, {"X-Not-Run": "true"}, {"X-Instance": ""}):
      with self.subTest(headers=headers):
        outcome = await self.exchange(headers)
        self.assertIsInstance(outcome.error, exceptions.MalformedReplyError)

  async def test_refusal_that_names_its_instance_is_true(self):
    headers = {"X-Instance": "i", "X-Not-Run": "true"}
    outcome = await self.exchange(headers, 503)
    self.assertIsInstance(outcome.error, exceptions.UpstreamRefusedError)


if __name__ == "__main__":
  unittest.main()
