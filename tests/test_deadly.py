"""Requests that crash each upstream that runs them."""

import signal
import time
import unittest

from bronzefold.core import quarantine
from tests import gateways
from tests.standins import site as sites

SHARDS = ("s0", "s1", "s2", "s3", "s4", "s5")
DEADLY = "/search/deadly"
DEADLY_LOOKUP = "/lookup/deadly"
RECORD = sites.make_records(7)


class DeadlyRequestTest(unittest.TestCase):
  """Three nodes, six shards with two upstreams each, four for lookups."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    for service in SHARDS:
      for number in range(2):
        self.add_upstream(f"i-{service}-{number}", service, DEADLY)
    for number in range(4):
      self.add_upstream(f"i-lookup-{number}", "lookup", DEADLY_LOOKUP)
    routes = [
      sites.make_route("search", gather=list(SHARDS), topK=1, minCoverage=0.9),
      sites.make_route("lookup", service="lookup"),
    ]
    self.site.put("op/config", sites.make_configuration(5, routes))
    first = self.start("n0", seeds=("127.0.0.1:9",))
    self.nodes = [first] + [
      self.start(
        f"n{number}", ip=f"127.0.0.{number + 1}", peer_port=first.peer_port
      )
      for number in (1, 2)
    ]
    addresses = {f"127.0.0.1:{node.front_port}" for node in self.nodes}
    for node in self.nodes:
      gateways.wait_until(
        lambda node=node: set(node.resolve_addresses()) == addresses,
        "all nodes",
      )
    # A node that has started sends to a few shards first.
    time.sleep(quarantine.START_ALERT_S)

  def add_upstream(self, instance, service, deadly_target):
    self.site.add_upstream(
      sites.Upstream(
        instance, service, RECORD, delay_s=0.05, deadly_target=deadly_target
      )
    )

  def start(self, name, **options):
    node = self.enterContext(gateways.Node(self.site, name, **options))
    node.wait_ready()
    return node

  def count_crashed(self, prefix="i-s"):
    return sum(
      not upstream.server.is_serving()
      for upstream in self.site.upstreams.values()
      if upstream.id.startswith(prefix)
    )

  def count_arrivals(self, target):
    return sum(
      request.target == target
      for upstream in self.site.upstreams.values()
      for request in upstream.received_requests
    )

  def wait_for_quarantine(self, nodes):
    for node in nodes:
      gateways.wait_until(
        lambda node=node: node.read_events("request_quarantined"),
        "the quarantine",
      )

  def test_search_that_crashes_upstreams_spares_one_of_each_shard(self):
    self.assertEqual(self.nodes[0].send(DEADLY).status, 502)
    time.sleep(0.5)
    self.assertEqual(self.count_crashed(), len(SHARDS))
    for node in self.nodes:
      replies = [node.send("/search/x") for _ in range(5)]
      self.assertEqual({len(reply.parts) for reply in replies}, {len(SHARDS)})

  def test_search_that_crashed_upstreams_is_rejected_by_all_nodes(self):
    self.nodes[0].send(DEADLY)
    self.wait_for_quarantine(self.nodes)
    arrivals = self.count_arrivals(DEADLY)
    for node in self.nodes:
      reply = node.send(DEADLY)
      self.assertEqual(reply.status, 503)
      self.assertGreater(float(reply.headers["retry-after"]), 1.0)
      self.assertLess(reply.took_s, 0.2)
    self.assertEqual(self.count_arrivals(DEADLY), arrivals)

  def test_lookup_that_crashes_upstreams_is_rejected_after_the_third(self):
    statuses = [
      node.send(DEADLY_LOOKUP).status for node in self.nodes for _ in range(2)
    ]
    self.assertEqual(self.count_crashed("i-lookup"), 3)
    self.assertEqual(statuses[2:], [503] * 4)
    for node in self.nodes:
      self.assertEqual(node.send("/lookup/x").status, 200)

  def test_restarted_node_learns_of_the_quarantine(self):
    self.nodes[0].send(DEADLY)
    self.wait_for_quarantine(self.nodes)
    restarted = self.nodes[2]
    restarted.popen.kill()
    restarted.popen.wait()
    restarted.log_path.unlink()
    restarted.start()
    restarted.wait_ready()
    self.wait_for_quarantine([restarted])
    self.assertEqual(restarted.send(DEADLY).status, 503)
    self.assertEqual(self.count_crashed(), len(SHARDS))

  def test_node_that_has_just_started_risks_two_upstreams(self):
    alone = self.start("n9", seeds=("127.0.0.1:9",), ip="127.0.0.9")
    alone.send(DEADLY)
    time.sleep(0.5)
    self.assertLessEqual(self.count_crashed(), 2)

  def test_lost_connections_to_sound_upstreams_are_no_suspicion(self):
    for upstream in self.site.upstreams.values():
      upstream.behaviour = "reset"
    for node in self.nodes:
      node.send("/search/x")
    for upstream in self.site.upstreams.values():
      upstream.behaviour = "serve"
    for node in self.nodes:
      self.assertEqual(node.read_events("request_suspected"), [])
      reply = node.send("/search/x")
      self.assertEqual((reply.status, len(reply.parts)), (200, len(SHARDS)))

  def test_paused_node_keeps_to_a_quarantine_that_began_meanwhile(self):
    paused = self.nodes[1]
    paused.popen.send_signal(signal.SIGSTOP)
    self.nodes[0].send(DEADLY)
    self.wait_for_quarantine([self.nodes[0], self.nodes[2]])
    paused.popen.send_signal(signal.SIGCONT)
    self.wait_for_quarantine([paused])
    self.assertEqual(paused.send(DEADLY).status, 503)
    self.assertEqual(self.count_crashed(), len(SHARDS))


if __name__ == "__main__":
  unittest.main()
