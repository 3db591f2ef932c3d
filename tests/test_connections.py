"""Limits on callers that send too slowly, too much or nothing."""

import socket
import time
import unittest

from tests import gateways
from tests.standins import site as sites

HEAD_TIMEOUT_S = 0.6
IDLE_TIMEOUT_S = 1.2
MAX_HEAD_BYTES = 4096
MAX_BODY_BYTES = 20_000
REQUEST_START = b"POST /shop/x HTTP/1.1\r\nHost: shop.example\r\n"


class LimitsTest(unittest.TestCase):
  """One node with small limits on heads, bodies and idle time."""

  def setUp(self):
    site = self.enterContext(sites.Site())
    self.upstream = site.add_upstream(sites.Upstream("i-shop", "shop", b"shop"))
    route = sites.make_route("shop", service="shop")
    document = sites.make_configuration(1, [route])
    document["limits"] = {
      "maxHeaderBytes": MAX_HEAD_BYTES,
      "maxBodyBytes": MAX_BODY_BYTES,
      "headerTimeoutMs": HEAD_TIMEOUT_S * 1e3,
      "idleTimeoutMs": IDLE_TIMEOUT_S * 1e3,
    }
    site.put("op/config", document)
    self.node = self.enterContext(gateways.Node(site, "n0"))
    self.node.wait_ready()

  def connect(self) -> socket.socket:
    address = ("127.0.0.1", self.node.front_port)
    return self.enterContext(socket.create_connection(address, timeout=5.0))

  def read_until_closed(self, connection: socket.socket) -> tuple[bytes, float]:
    """Reads until the connection is closed; returns bytes and seconds."""
    started_at = time.monotonic()
    pieces = list(iter(lambda: connection.recv(4096), b""))
    return b"".join(pieces), time.monotonic() - started_at

  def assert_logged(self, outcome: str, request: str | None = None) -> None:
    lines = self.node.read_events("request_refused")
    logged = [(line["outcome"], line.get("request")) for line in lines]
    self.assertIn((outcome, request), logged)

  def test_refusals_are_logged(self):
    self.node.send("/unknown/", request_id="r-unknown")
    self.assert_logged("no_route", "r-unknown")
    gateways.call(
      self.node.front_port, "/shop/", headers={"Host": "shop.example"}
    )
    self.assert_logged("malformed")

  def test_slow_head_gets_408(self):
    connection = self.connect()
    connection.sendall(REQUEST_START)
    time.sleep(HEAD_TIMEOUT_S / 2)
    connection.sendall(b"X-Slow: 1\r\n")
    reply, took_s = self.read_until_closed(connection)
    self.assertIn(b" 408 ", reply.partition(b"\r\n")[0])
    self.assertLess(took_s, HEAD_TIMEOUT_S)
    self.assert_logged("head_too_slow")

  def test_head_in_two_pieces_is_served(self):
    connection = self.connect()
    connection.sendall(REQUEST_START)
    time.sleep(HEAD_TIMEOUT_S / 4)
    connection.sendall(
      b"Bronzefold-Request-Id: r1\r\nConnection: close\r\n"
      b"Content-Length: 0\r\n\r\n"
    )
    reply, _ = self.read_until_closed(connection)
    self.assertIn(b" 200 ", reply.partition(b"\r\n")[0])
    self.assertEqual(self.upstream.executed_ids, ["r1"])

  def test_endless_head_gets_431(self):
    connection = self.connect()
    connection.sendall(REQUEST_START)
    for _ in range(2):
      connection.sendall(b"X-More: " + b"x" * 3000 + b"\r\n")
      time.sleep(0.05)
    reply, took_s = self.read_until_closed(connection)
    self.assertIn(b" 431 ", reply.partition(b"\r\n")[0])
    self.assertLess(took_s, HEAD_TIMEOUT_S / 2)
    self.assert_logged("head_too_large")

  def test_large_body_is_refused_before_its_end(self):
    connection = self.connect()
    connection.sendall(
      REQUEST_START
      + b"Bronzefold-Request-Id: r2\r\nContent-Length: 1000000\r\n\r\n"
    )
    connection.sendall(b"x" * (MAX_BODY_BYTES + 1))
    reply = connection.recv(4096)
    self.assertIn(b" 413 ", reply.partition(b"\r\n")[0])
    self.assertEqual(self.upstream.received_requests, [])
    self.assert_logged("body_too_large")

  def test_silent_connection_is_closed(self):
    reply, took_s = self.read_until_closed(self.connect())
    self.assertEqual(reply, b"")
    self.assertGreater(took_s, IDLE_TIMEOUT_S / 2)
    self.assertLess(took_s, IDLE_TIMEOUT_S + 0.5)

  def test_connection_is_reused_between_requests(self):
    connection = self.connect()
    for number in range(3):
      connection.sendall(
        REQUEST_START
        + b"Bronzefold-Request-Id: k%d\r\nContent-Length: 0\r\n\r\n" % number
      )
      reply = b""
      while not reply.endswith(b"shop"):
        piece = connection.recv(4096)
        self.assertTrue(piece, reply)
        reply += piece
      self.assertIn(b" 200 ", reply.partition(b"\r\n")[0])
      time.sleep(HEAD_TIMEOUT_S * 1.3)
    self.assertEqual(self.upstream.executed_ids, ["k0", "k1", "k2"])


if __name__ == "__main__":
  unittest.main()
