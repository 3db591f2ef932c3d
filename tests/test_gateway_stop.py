"""Requests that reach a gateway node late in its graceful stop."""

import http.client
import signal
import time
import unittest

from bronzefold.core import stopping
from tests import gateways
from tests.standins import site as sites

STOP_LIMIT_S = 6.0  # ``graceS`` of the settings
LATE_S = 2.2  # before the node stops accepting requests


class LateRequestTest(unittest.TestCase):
  """One node that stops; callers that keep their connections."""

  def setUp(self):
    site = self.enterContext(sites.Site())
    self.upstream = site.add_upstream(sites.Upstream("i-shop", "shop", b"shop"))
    once = {"service": "shop", "type": "non_idempotent", "timeoutMs": 9000}
    routes = [
      sites.make_route("quick", **once, targetLatencyMs=100),
      sites.make_route("long", **once, targetLatencyMs=2000),
    ]
    site.put("op/config", sites.make_configuration(1, routes))
    self.node = self.enterContext(gateways.Node(site, "n0"))
    self.node.wait_ready()
    self.node.wait_for_upstreams(self.upstream)

  def send(self, connection, path, name):
    headers = {
      "Host": "shop.example",
      "Bronzefold-Request-Id": name,
      "Bronzefold-Deadline-Ms": "9000",
    }
    connection.request("POST", path, b"x", headers)
    response = connection.getresponse()
    response.read()
    return response

  def stop_and_send(self, path, name):
    """Sends a request on a kept connection late in the grace.

    Returns:
      The response, and the time from the signal to it.
    """
    connection = http.client.HTTPConnection(
      "127.0.0.1", self.node.front_port, timeout=15
    )
    self.addCleanup(connection.close)
    connection.connect()
    self.node.popen.send_signal(signal.SIGTERM)
    started_at = time.monotonic()
    time.sleep(LATE_S)
    response = self.send(connection, path, name)
    return response, time.monotonic() - started_at

  def test_request_that_fits_is_served(self):
    response, _ = self.stop_and_send("/quick/x", "r-fits")
    self.assertEqual(response.status, 200)
    self.assertEqual(response.headers["connection"], "close")

  def test_request_that_lasts_beyond_the_stop_gets_an_answer(self):
    self.upstream.delay_s = 30.0
    response, took_s = self.stop_and_send("/quick/x", "r-lasts")
    self.assertEqual(response.status, 504)
    self.assertGreater(took_s, STOP_LIMIT_S * 5 / 6)
    self.assertLess(took_s, STOP_LIMIT_S)
    self.assertEqual(self.upstream.executed_ids, ["r-lasts"])
    self.assertEqual(self.node.popen.wait(timeout=3.0), 0)

  def test_request_that_can_not_finish_is_refused_at_once(self):
    response, took_s = self.stop_and_send("/long/x", "r-long")
    self.assertEqual(response.status, 503)
    self.assertLess(took_s, LATE_S + 0.5)
    self.assertEqual(self.upstream.received_requests, [])


class DecisionTest(unittest.TestCase):
  """Which requests a stopping node accepts, and until when it answers."""

  def may_accept(self, is_repeatable, left_s):
    demand = stopping.Demand(1.0, 9.0, is_repeatable)
    return stopping.may_accept(demand, 10.0, 10.0 - left_s)

  def test_repeatable_request_needs_its_objective(self):
    self.assertTrue(self.may_accept(True, 1.0))
    self.assertFalse(self.may_accept(True, 0.9))

  def test_other_request_needs_more(self):
    self.assertTrue(self.may_accept(False, 4.0))
    self.assertFalse(self.may_accept(False, 3.9))

  def test_no_request_needs_more_than_its_timeout(self):
    demand = stopping.Demand(1.0, 0.5, False)
    self.assertTrue(stopping.may_accept(demand, 10.0, 9.5))

  def test_running_node_accepts_everything(self):
    demand = stopping.Demand(1e6, 1e6, False)
    self.assertTrue(stopping.may_accept(demand, stopping.RUNNING, 10.0))
    self.assertEqual(stopping.limit_deadline(5.0, stopping.RUNNING), 5.0)


if __name__ == "__main__":
  unittest.main()
