"""What a node does with reports on crashes, without a network."""

import types
import unittest

from bronzefold.core import quarantine
from bronzefold.gateway import crashreports
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.peers import messages


class CrashReportsTest(unittest.TestCase):
  """A node with two neighbours and three upstreams of a service."""

  def setUp(self):
    self.sent = []
    self.upstreams = inventory.Inventory(lambda _: 1)
    for number in range(3):
      instance = model.Instance(f"i{number}", "s", "10.0.0.1:1", "a")
      self.upstreams.register(instance, 10.0)
    plan = types.SimpleNamespace(
      is_hub=True,
      neighbours=[types.SimpleNamespace(node=name) for name in ("n1", "n2")],
    )
    self.suspects = quarantine.Quarantine()
    self.exchange = crashreports.CrashReportExchange(
      types.SimpleNamespace(send=lambda *item: self.sent.append(item)),
      self.suspects,
      self.upstreams,
      lambda: plan,
    )

  def receive(self, age_s, now):
    report = quarantine.CrashReport("f", ("i0", "i1", "unknown"), 0, age_s)
    self.exchange.handle_message(messages.CrashReports((report,)), now)

  def list_down(self, now):
    return [
      upstream.instance.id
      for upstream in self.upstreams.list_all()
      if upstream.health.is_down(now)
    ]

  def test_upstreams_of_a_fresh_report_are_down(self):
    """Otherwise a probe would go to the last upstream of a service."""
    self.receive(0.1, 20.0)
    self.assertEqual(self.list_down(20.0), ["i0", "i1"])

  def test_upstreams_of_an_old_report_may_be_back(self):
    self.receive(crashreports.FRESH_S, 20.0)
    self.assertEqual(self.list_down(20.0), [])

  def test_news_goes_to_all_neighbours_once_and_is_repeated(self):
    self.receive(0.1, 20.0)
    self.receive(0.1, 20.0)
    self.assertEqual([node for node, _ in self.sent], ["n1", "n2"])
    self.exchange.repeat(20.0)
    self.exchange.repeat(20.5)
    self.assertEqual(len(self.sent), 4)

  def test_node_that_has_just_started_is_told(self):
    self.exchange.greet("n1", 20.0)
    self.assertEqual(self.sent, [])
    self.receive(0.1, 20.0)
    self.exchange.greet("n9", 20.0)
    self.assertEqual(self.sent[-1][0], "n9")


if __name__ == "__main__":
  unittest.main()
