"""Callers that open more connections than a node has descriptors."""

import contextlib
import socket
import unittest

from tests import gateways
from tests.standins import site as sites

DESCRIPTORS = 200


class DescriptorTest(unittest.TestCase):
  """One node with few descriptors."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    upstream = self.site.add_upstream(sites.Upstream("i-0", "shop", b"shop"))
    routes = [sites.make_route("plain", service="shop")]
    self.site.put("op/config", sites.make_configuration(1, routes))
    node = gateways.Node(self.site, "n0", max_fds=DESCRIPTORS)
    self.node = self.enterContext(node)
    self.node.wait_ready()
    self.node.wait_for_upstreams(upstream)

  def test_other_uses_keep_theirs(self):
    """Guards against a node that callers keep from all else."""
    with contextlib.ExitStack() as stack:
      early = stack.enter_context(self.connect())
      for _ in range(2 * DESCRIPTORS):
        with contextlib.suppress(OSError):
          stack.enter_context(self.connect())
      gateways.wait_until(
        lambda: self.node.read_events("connection_refused"), "it refuses"
      )
      self.assertTrue(self.node.is_ready())
      self.assertEqual(len(self.node.resolve_addresses()), 1)
      added = self.site.add_upstream(sites.Upstream("i-1", "shop", b"shop"))
      self.node.wait_for_upstreams(added)
      early.sendall(
        b"GET /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Bronzefold-Request-Id: r-1\r\n\r\n"
      )
      self.assertIn(b"200 OK", early.recv(1000))
    gateways.wait_until(
      lambda: self.node.send("/plain/x").status == 200, "it accepts again"
    )

  def connect(self):
    return socket.create_connection(("127.0.0.1", self.node.front_port), 1.0)


if __name__ == "__main__":
  unittest.main()
