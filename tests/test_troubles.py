"""One node whose upstreams flap, hang, fall silent or are replaced."""

import collections
import threading
import time
import unittest

from tests import gateways
from tests.standins import site as sites

SHARDS = [f"s{number}" for number in range(12)]
MIN_COVERAGE = 0.75
OBJECTIVE_S = 0.4


class TroubleTest(unittest.TestCase):
  """Two upstreams for each of twelve shards and for a plain service."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    routes = [
      sites.make_route("plain", service="shop"),
      sites.make_route(
        "search", gather=SHARDS, topK=3, minCoverage=MIN_COVERAGE
      ),
    ]
    self.site.put("op/config", sites.make_configuration(7, routes))
    for service in ("shop", *SHARDS):
      for number in range(2):
        self.add_upstream(service, number)
    self.node = self.enterContext(gateways.Node(self.site, "n0"))
    self.node.wait_ready()
    for _ in range(20):
      self.node.send("/search/x")

  def add_upstream(self, service, number):
    body = sites.make_records(0, 3) + b"rest" if service in SHARDS else b"shop"
    upstream = sites.Upstream(f"i-{service}-{number}", service, body)
    return self.site.add_upstream(upstream)

  def get_upstreams(self, service):
    return [u for u in self.site.upstreams.values() if u.service == service]

  def send_for(self, path, duration_s, rate_per_s=20):
    """Sends requests at a rate; returns the replies by the request's id."""
    replies = {}

    def send(name):
      replies[name] = self.node.send(path, deadline_ms=1500, request_id=name)

    threads = []
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
      name = f"r-{duration_s}-{len(threads)}"
      thread = threading.Thread(target=send, args=(name,))
      thread.start()
      threads.append(thread)
      time.sleep(1 / rate_per_s)
    for thread in threads:
      thread.join()
    return replies

  def assert_served(self, sent, missing=0, limit_s=OBJECTIVE_S):
    """Asserts that all searches are served in time with most parts."""
    replies = sent.values()
    statuses = collections.Counter(reply.status for reply in replies)
    self.assertEqual(set(statuses), {200}, statuses)
    for reply in replies:
      parts = int(reply.headers.get("bronzefold-missing-parts", "0"))
      self.assertLessEqual(parts, missing)
      self.assertLess(reply.took_s, limit_s)

  def test_upstreams_that_flap_cost_no_request(self):
    """One replica of the service goes down and up by turns."""
    first, _ = self.get_upstreams("shop")
    stop = threading.Event()

    def flap():
      while not stop.is_set():
        self.site.stop_upstream(first)
        stop.wait(0.3)
        self.site.restart_upstream(first)
        stop.wait(0.3)

    thread = threading.Thread(target=flap)
    thread.start()
    sent = self.send_for("/plain/x", 3.0)
    stop.set()
    thread.join()
    self.assertEqual({reply.status for reply in sent.values()}, {200})

  def test_replicas_of_many_shards_hang(self):
    for service in SHARDS[::3]:
      self.get_upstreams(service)[0].delay_s = 30.0
    self.assert_served(self.send_for("/search/x", 2.0), missing=4)

  def test_replicas_of_many_shards_are_silent_though_they_accept(self):
    """They accept connections and never respond."""
    for service in SHARDS[::4]:
      self.get_upstreams(service)[0].behaviour = "mute"
    self.assert_served(self.send_for("/search/x", 2.0), missing=3)

  def test_replicas_of_many_shards_fail(self):
    for service in SHARDS[::3]:
      self.get_upstreams(service)[0].behaviour = "fail"
    self.assert_served(self.send_for("/search/x", 2.0))

  def test_callers_that_repeat_at_once_while_a_shard_is_gone(self):
    """Refusals are quick, true, and say when to return, however often asked."""
    for service in SHARDS[:4]:
      for upstream in self.get_upstreams(service):
        self.site.stop_upstream(upstream)
    self.send_for("/search/x", 1.0)
    sent = self.send_for("/search/x", 1.5, rate_per_s=100)
    executed = {
      name for u in self.site.upstreams.values() for name in u.executed_ids
    }
    for name, reply in sent.items():
      self.assertIn(reply.status, (502, 503))
      if reply.status == 503:
        self.assertNotIn(name, executed)
    refused = [reply for reply in sent.values() if reply.status == 503]
    self.assertGreater(len(refused), 0.7 * len(sent))
    waits = [float(reply.headers["retry-after"]) for reply in refused]
    self.assertGreater(min(waits), 0.0)
    self.assertGreater(len(set(waits)), len(waits) // 3)
    took = sorted(reply.took_s for reply in sent.values())
    self.assertLess(took[len(took) // 2], OBJECTIVE_S / 4)

  def test_upstreams_that_are_added_take_over(self):
    """New replicas serve soon after the old ones have gone dark."""
    for upstream in self.get_upstreams("shop"):
      self.site.stop_upstream(upstream)
    added = [self.add_upstream("shop", number) for number in (2, 3)]
    self.node.wait_for_upstreams(*added)
    sent = self.send_for("/plain/x", 1.5)
    self.assertEqual({reply.status for reply in sent.values()}, {200})


if __name__ == "__main__":
  unittest.main()
