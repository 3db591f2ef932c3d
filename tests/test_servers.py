"""Tests of the shutdown of an HTTP server."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

import uvicorn

from bronzefold.core import servers


async def answer(scope, receive, send):
  """Answers every request with the same response."""
  del scope
  await receive()
  headers = [(b"content-length", b"2"), (b"connection", b"close")]
  await send({"type": "http.response.start", "status": 200, "headers": headers})
  await send({"type": "http.response.body", "body": b"ok"})


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
  """Shutdown of a server in this process."""

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
    """Connects without running the event loop, so nothing is accepted yet."""
    return socket.create_connection(self.listener.getsockname(), timeout=3.0)

  def send(self, connection: socket.socket) -> None:
    """Sends a request."""
    connection.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

  async def test_waiting_connections_are_answered_on_shutdown(self):
    address = self.listener.getsockname()
    waiting = [self.connect() for _ in range(20)]
    for connection in waiting:
      self.send(connection)
    await self.server.shutdown([self.listener])
    for connection in waiting:
      self.assertIn(b"200 OK", await asyncio.to_thread(connection.recv, 1000))
      connection.close()
    with self.assertRaises(ConnectionRefusedError):
      socket.create_connection(address, timeout=1.0)
    self.task.cancel()

  async def test_connections_that_send_during_shutdown_are_answered(self):
    connections = [self.connect() for _ in range(5)]
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(self.server.shutdown([self.listener]))
    await asyncio.sleep(servers.FIRST_REQUEST_WAIT_S / 2)
    for connection in connections:
      self.send(connection)
    await stopping
    for connection in connections:
      self.assertIn(b"200 OK", await asyncio.to_thread(connection.recv, 1000))
      connection.close()
    self.task.cancel()

  async def test_idle_connection_does_not_delay_shutdown(self):
    with self.connect():
      await asyncio.sleep(0.1)
      self.server.request_shutdown()
      limit_s = servers.FIRST_REQUEST_WAIT_S + 1.0
      await asyncio.wait_for(self.task, limit_s)

  async def test_stops_when_accept_fails(self):
    reason = OSError(errno.EMFILE, "Too many open files")
    broken = mock.Mock(wraps=self.listener)
    broken.accept.side_effect = reason
    with self.assertLogs("bronzefold.core.servers", "WARNING") as logged:
      await self.server.shutdown([broken])
    self.assertIn("Too many open files", logged.output[0])
    self.task.cancel()

  async def test_stops_without_waiting_connections(self):
    self.server.request_shutdown()
    await asyncio.wait_for(self.task, 2.0)


if __name__ == "__main__":
  unittest.main()
