"""The owner's executor of one upstream, against an upstream in this process."""

import json
import time
import unittest

import anyio
from anyio.abc import SocketAttribute

from bronzefold.core import clock
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.upstreams import connection
from bronzefold.upstreams import executor
from bronzefold.upstreams import queue

STATUS = {"instance": "i1", "state": "warm", "load": 0, "snapshots": []}


class StubUpstream:
  """Answers each request at once, with a rate limit.

  Attributes:
    rate_limit: Value of its rate limit header; empty for none.
    arrivals: Monotonic times of the requests, without reads of the status.
  """

  def __init__(self):
    self.rate_limit = ""
    self.arrivals = []

  async def serve(self, stream):
    """Serves one connection."""
    async with stream:
      data = b""
      while True:
        try:
          data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
          return
        head, separator, rest = data.partition(b"\r\n\r\n")
        fields = self.read_fields(head)
        length = int(fields.get("content-length", "0"))
        if not separator or len(rest) < length:
          continue
        data = rest[length:]
        await stream.send(self.make_response(head, fields))

  def read_fields(self, head):
    """Returns the headers of a request."""
    pairs = (line.partition(": ") for line in head.decode().split("\r\n")[1:])
    return {name.lower(): value for name, _, value in pairs}

  def make_response(self, head, fields):
    """Returns the bytes of a response."""
    body = json.dumps(STATUS).encode()
    lines = [
      "HTTP/1.1 200 OK",
      "x-instance: i1",
      f"content-length: {len(body)}",
    ]
    if not head.startswith(b"GET"):
      self.arrivals.append(time.monotonic())
      lines.append(f"x-request-id: {fields['x-request-id']}")
      if self.rate_limit:
        lines.append(f"x-rate-limit: {self.rate_limit}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class EndlessUpstream(StubUpstream):
  """Sends a body without end after each request but the reads of its status."""

  async def serve(self, stream):
    """Serves one connection."""
    async with stream:
      try:
        while (await stream.receive()).startswith(b"GET"):
          await stream.send(self.make_response(b"GET", {}))
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
          await stream.send(b"x" * 65536)
      except (anyio.EndOfStream, anyio.BrokenResourceError):
        return


class ExecutorTest(unittest.IsolatedAsyncioTestCase):
  """Upstreams that announce a rate limit, or whose responses do not end."""

  def setUp(self):
    self.upstream = StubUpstream()

  async def run_jobs(self, count, deadline_s):
    """Submits jobs at once; returns their outcomes."""
    outcomes = []

    async def submit(number):
      exchange = connection.Exchange(f"r{number}", "/x", b"{}", deadline_s)
      deadline = clock.read_monotonic() + deadline_s
      outcomes.append(await self.executor.submit(queue.Job(exchange, deadline)))

    async with anyio.create_task_group() as tasks:
      for number in range(count):
        tasks.start_soon(submit, number)
    return outcomes

  async def check_with_executor(self, check):
    """Runs a check while the executor and the upstream run."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    entry = documents.UpstreamEntry("up", f"127.0.0.1:{port}", "a", "v1")
    self.executor = executor.UpstreamExecutor(
      "s",
      entry,
      documents.Limits(slots=4, cold_slots=4, warm_up_s=0.0),
      lambda now, warm: None,
      lambda service, manifest: None,
    )
    async with listener, anyio.create_task_group() as tasks:
      tasks.start_soon(listener.serve, self.upstream.serve)
      tasks.start_soon(self.executor.run)
      await anyio.sleep(0.2)
      await check()
      self.executor.abort()
      tasks.cancel_scope.cancel()

  async def test_owner_exceeds_announced_rate_limit(self):
    async def check():
      self.upstream.rate_limit = "10"
      await self.run_jobs(1, 1.0)
      outcomes = await self.run_jobs(60, 2.0)
      served = sum(outcome.is_ok() for outcome in outcomes)
      self.assertLessEqual(len(self.upstream.arrivals), 1 + 4 + 10 * 2 + 1)
      self.assertGreater(served, 12)
      errors = {type(o.error) for o in outcomes if o.is_error()}
      self.assertLessEqual(
        errors,
        {exceptions.OverloadedError, exceptions.DeadlineExpiredError},
      )

    await self.check_with_executor(check)

  async def test_response_without_end_is_read_without_bound(self):
    self.upstream = EndlessUpstream()

    async def check():
      started_at = time.monotonic()
      (outcome,) = await self.run_jobs(1, 5.0)
      self.assertIsInstance(outcome.error, exceptions.MalformedReplyError)
      self.assertLess(time.monotonic() - started_at, 3.0)

    await self.check_with_executor(check)

  async def test_rate_limit_ends_with_its_announcement(self):
    async def check():
      self.upstream.rate_limit = "10"
      await self.run_jobs(1, 1.0)
      self.upstream.rate_limit = ""
      await self.run_jobs(1, 1.0)
      started_at = time.monotonic()
      outcomes = await self.run_jobs(40, 2.0)
      self.assertTrue(all(outcome.is_ok() for outcome in outcomes))
      self.assertLess(time.monotonic() - started_at, 1.0)

    await self.check_with_executor(check)


if __name__ == "__main__":
  unittest.main()
