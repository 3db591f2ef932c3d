"""The end of an HTTP server."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

import uvicorn

from bronzefold.core import servers


async def answer(scope, receive, send):
  """Answers every request alike."""
  del scope
  await receive()
  headers = [(b"content-length", b"2"), (b"connection", b"close")]
  await send({"type": "http.response.start", "status": 200, "headers": headers})
  await send({"type": "http.response.body", "body": b"ok"})


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
  """A server in this process."""

  async def asyncSetUp(self):
    self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    config = uvicorn.Config(
      answer, log_config=None, http="httptools", lifespan="off", ws="none"
    )
    self.server = servers.GracefulServer(config)
    task = asyncio.create_task(self.server.serve(sockets=[self.listener]))
    while not self.server.started:
      await asyncio.sleep(0.01)
    self.task = task

  def connect(self) -> socket.socket:
    """Connects without a turn of the loop, so nobody accepts."""
    return socket.create_connection(self.listener.getsockname(), timeout=3.0)

  def send(self, made: socket.socket) -> None:
    """Sends a request."""
    made.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

  async def test_connections_that_wait_are_answered(self):
    address = self.listener.getsockname()
    waiting = [self.connect() for _ in range(20)]
    for made in waiting:
      self.send(made)
    await self.server.shutdown([self.listener])
    for made in waiting:
      self.assertIn(b"200 OK", await asyncio.to_thread(made.recv, 1000))
      made.close()
    with self.assertRaises(ConnectionRefusedError):
      socket.create_connection(address, timeout=1.0)
    self.task.cancel()

  async def test_connections_without_a_request_yet_are_answered(self):
    made = [self.connect() for _ in range(5)]
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(self.server.shutdown([self.listener]))
    await asyncio.sleep(servers.FIRST_REQUEST_WAIT_S / 2)
    for connection in made:
      self.send(connection)
    await stopping
    for connection in made:
      self.assertIn(b"200 OK", await asyncio.to_thread(connection.recv, 1000))
      connection.close()
    self.task.cancel()

  async def test_connection_without_a_request_does_not_hold_the_stop(self):
    with self.connect():
      await asyncio.sleep(0.1)
      self.server.request_shutdown()
      limit_s = servers.FIRST_REQUEST_WAIT_S + 1.0
      await asyncio.wait_for(self.task, limit_s)

  async def test_stops_when_no_connection_can_be_taken(self):
    reason = OSError(errno.EMFILE, "Too many open files")
    broken = mock.Mock(wraps=self.listener)
    broken.accept.side_effect = reason
    with self.assertLogs("bronzefold.core.servers", "WARNING") as logged:
      await self.server.shutdown([broken])
    self.assertIn("Too many open files", logged.output[0])
    self.task.cancel()

  async def test_stops_without_anyone_waiting(self):
    self.server.request_shutdown()
    await asyncio.wait_for(self.task, 2.0)


if __name__ == "__main__":
  unittest.main()
