"""Configurations that wait for upstreams are in force in time all the same."""

import json
import unittest

from bronzefold import store
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import replica
from bronzefold.peers import membership
from bronzefold.platform import documents
from bronzefold.platform import upstreams
from tests import test_replica
from tests.standins import site as sites

APPLY_LIMIT_S = 3.0


def make_entry(version: int, shards: list[str]) -> store.Entry:
  """Makes the entry of a configuration with one search over shards."""
  route = sites.make_route("search", gather=shards, topK=3)
  configuration = sites.make_configuration(version, [route])
  return store.Entry("op/config", json.dumps(configuration), version)


class HeldConfigurationTest(unittest.TestCase):
  """A node that reads changes at given times; no upstream is registered."""

  def setUp(self):
    self.gateway = gateways.Gateway(
      test_replica.NODE_SETTINGS, upstreams.UpstreamProtocol(), None
    )
    member = membership.Member("n0", "a", "serving", "h:1", "h:5")
    self.members = membership.Membership(member, 2.0)
    self.replica = replica.Replica(
      self.gateway, self.members, documents.read_change
    )
    self.replica.apply_changes([make_entry(1, ["a", "b"])], 1, 0.0)
    self.members.record_store_contact(0.0)

  def get_version(self, now: float) -> int:
    self.gateway.apply_pending_configuration(now)
    return self.gateway.configuration.version

  def test_held_configuration_is_in_force_in_time_after_a_late_read(self):
    """It may have been acknowledged just after the last known contact."""
    for read_at in (0.5, 1.0, 2.0, 2.9, 7.0):
      with self.subTest(read_at=read_at):
        self.setUp()
        self.replica.apply_changes([make_entry(2, ["c"])], 2, read_at)
        due_at = max(read_at, APPLY_LIMIT_S)
        self.assertEqual(self.get_version(due_at), 2)

  def test_configuration_waits_for_upstreams_when_there_is_time(self):
    self.replica.apply_changes([make_entry(2, ["c"])], 2, 0.1)
    self.assertEqual(self.get_version(1.0), 1)

  def test_later_configuration_does_not_prolong_the_wait(self):
    self.replica.apply_changes([make_entry(2, ["c"])], 2, 1.0)
    self.members.record_store_contact(1.9)
    self.replica.apply_changes([make_entry(3, ["d"])], 3, 2.0)
    self.assertEqual(self.get_version(APPLY_LIMIT_S), 3)

  def test_first_configuration_is_in_force_at_once(self):
    self.assertEqual(self.get_version(0.0), 1)


if __name__ == "__main__":
  unittest.main()
