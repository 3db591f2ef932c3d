"""Odd entries of another writer among those of the upstreams."""

import json
import time
import unittest

from bronzefold import store
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.node import configuration
from bronzefold.peers import messages
from bronzefold.store import keys
from tests import gateways
from tests.standins import site as sites

NESTED = b"[" * 100_000 + b"]" * 100_000
HUGE = 10**400


def make_report(**changed):
  report = {
    "service": "shop",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": 1,
    "born": 1700000000000,
  }
  return json.dumps({**report, **changed}).encode()


def insert_value(field, value):
  """Returns a report in which a field has a value that json cannot write."""
  return make_report(**{field: "@"}).replace(b'"@"', value)


ODD_ENTRIES = {
  "nested": NESTED,
  "nested-field": insert_value("service", NESTED),
  "nested-unknown-field": insert_value("comment", NESTED),
  "port-too-large": make_report(address="127.0.0.1:99999"),
  "port-huge": make_report(address="127.0.0.1:" + "9" * 5000),
  "port-negative": make_report(address="127.0.0.1:-1"),
  "port-zero": make_report(address="127.0.0.1:0"),
  "port-missing": make_report(address="127.0.0.1"),
  "port-not-a-number": make_report(address="127.0.0.1:1e3"),
  "host-of-nuls": make_report(address="\u0000\u0000:80"),
  "host-too-long": make_report(address="x" * 10_000 + ":80"),
  "slots-huge": make_report(concurrency=HUGE),
  "slots-negative": make_report(concurrency=-3),
  "warm-up-infinite": insert_value("warmupLeftMs", b"1e400"),
  "warm-up-huge": insert_value("warmupLeftMs", b"1e308"),
  "warm-up-negative": insert_value("warmupLeftMs", b"-1e308"),
  "born-huge": make_report(born=HUGE),
  "born-negative": make_report(born=-HUGE),
  "sequence-huge": make_report(sequence=HUGE),
  "text": b'"' + b"x" * 500_000 + b'"',
}


class OddEntriesTest(unittest.TestCase):
  """One node that reads each odd entry, beside an upstream that serves."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.site.add_upstream(sites.Upstream("i-shop", "shop", b"shop"))
    routes = [
      sites.make_route("shop", service="shop"),
      sites.make_route("new", service="new"),
      sites.make_route(
        "search", gather=["shop"], topK=1, minCoverage=1.0, maxAttempts=2
      ),
    ]
    self.site.put("op/config", sites.make_configuration(5, routes))

  def assert_serves(self, node):
    for path in ("/shop/x", "/search/x") * 5:
      node.send(path)
    self.assertIsNone(node.popen.poll(), "the process has ended")
    self.assertEqual(node.send("/shop/x").status, 200)
    self.assertEqual(node.read_events("task_failed"), [])

  def test_node_that_reads_them_serves_and_follows_the_store(self):
    node = self.enterContext(gateways.Node(self.site, "n0"))
    node.wait_ready()
    for name, value in ODD_ENTRIES.items():
      self.site.put(f"servers/i-{name}", value)
    self.site.add_upstream(sites.Upstream("i-new", "new", b"new"))
    gateways.wait_until(
      lambda: node.send("/new/x").status == 200, "the entry after the odd ones"
    )
    self.assert_serves(node)
    for name in ODD_ENTRIES:
      self.site.remove(f"servers/i-{name}")
    time.sleep(1.0)
    self.assert_serves(node)

  def test_node_that_starts_with_them_serves(self):
    for name, value in ODD_ENTRIES.items():
      self.site.put(f"servers/i-{name}", value)
    first = self.enterContext(gateways.Node(self.site, "n0"))
    first.wait_ready()
    self.assert_serves(first)

  def test_odd_entries_of_nodes_and_operators(self):
    node = self.enterContext(gateways.Node(self.site, "n0"))
    node.wait_ready()
    member = {
      "node": "odd",
      "zone": "a",
      "state": "serving",
      "caller_address": "127.0.0.1:99999",
      "peer_address": "127.0.0.1:99999",
    }
    for key, value in {
      "bronzefold/nodes/nested": NESTED,
      "bronzefold/nodes/odd": json.dumps(member).encode(),
      "bronzefold/nodes/capacity": json.dumps(
        {**member, "node": "capacity", "peer_address": "x", "capacity": HUGE}
      ).encode(),
      "op/config": NESTED,
      "op/rollout/shop": NESTED,
      "op/evacuate/zone": NESTED,
      "status/rollout/shop": NESTED,
    }.items():
      self.site.put(key, value)
    self.site.add_upstream(sites.Upstream("i-new", "new", b"new"))
    gateways.wait_until(
      lambda: node.send("/new/x").status == 200, "the entry after the odd ones"
    )
    time.sleep(1.5)
    self.assert_serves(node)


class NestedMessagesTest(unittest.TestCase):
  """Messages nested so deeply that their decoders give up."""

  def test_documents_and_frames_are_refused(self):
    nested = NESTED.decode()
    self.assertTrue(documents.read_document_record(nested, "key").is_error())
    with self.assertRaises(exceptions.PeerFrameError):
      messages.decode_message(b"heartbeat", b"\x91" * 100_000 + b"\x90")

  def test_entries_of_the_own_interface_are_refused(self):
    config = configuration.Configuration()
    prefixes = (keys.NODE_PREFIX, keys.OWNER_PREFIX, keys.DOCUMENT_PREFIX)
    entries = [
      store.Entry(f"{prefix}odd", NESTED.decode(), 5 + number)
      for number, prefix in enumerate(prefixes)
    ]
    config.apply_changes(entries, 9)
    self.assertEqual((config.revision, dict(config.nodes)), (9, {}))


if __name__ == "__main__":
  unittest.main()
