"""Zones that are out and upstreams that leave get no new requests."""

import time
import unittest

from tests import fleet
from tests import load

LEAVE_LIMIT_S = 3.0


class LeavingTest(unittest.TestCase):
  """A fleet of three nodes, with one replica in each of two zones."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=3)
    cls.enterClassContext(cls.fleet)
    cls.fleet.apply(cls.fleet.make_document())
    cls.fleet.wait_until_warm()

  def tearDown(self):
    names = [upstream["name"] for upstream in self.fleet.upstreams]
    self.fleet.set_upstream_faults(leaves={name: {} for name in names})
    self.fleet.set_store_faults(vms=[])
    self.fleet.apply(self.fleet.make_document())
    self.fleet.put("bronzefold/zones/b", {"state": "in"})
    self.fleet.wait_until_warm()

  def count_after(self, names: list[str], since: float) -> int:
    """Counts the requests that upstreams have received after a time."""
    upstreams = self.fleet.fetch_counts()["leaves"]
    return sum(at > since for name in names for at in upstreams[name]["log"])

  def run_leave(
    self, names: list[str], start_leaving
  ) -> list[load.RequestRecord]:
    """Runs load while upstreams leave.

    Checks that they get no requests after the time limit, and that the load is
    served.
    """
    with load.Load(self.fleet, callers=4, action_share=0.1) as running_load:
      time.sleep(1.0)
      accepted_at = time.time()
      self.assertGreater(self.count_after(names, accepted_at - 1.0), 0)
      start_leaving()
      time.sleep(LEAVE_LIMIT_S + 2.0)
    self.assertEqual(self.count_after(names, accepted_at + LEAVE_LIMIT_S), 0)
    self.assert_served(running_load.records)
    return running_load.records

  def assert_served(self, load_records: list[load.RequestRecord]) -> None:
    searches = [r for r in load_records if not r.key]
    failed = [r for r in searches if not r.is_complete]
    self.assertLess(len(failed), 0.02 * len(searches), failed[:3])
    actions = [r for r in load_records if r.key]
    unknown = [r for r in actions if r.reply.get("outcome") == "unknown"]
    self.assertEqual(unknown, [])

  def test_zone_out_for_all_services_gets_no_requests(self):
    self.run_leave(
      ["leaf-1-0", "leaf-1-1"],
      lambda: self.fleet.put("bronzefold/zones/b", {"state": "out"}),
    )

  def test_zone_out_in_one_document_gets_no_requests_and_returns_cold(self):
    zones = {"a": "in", "b": "out"}
    document = self.fleet.make_document(zones=zones)
    self.run_leave(["leaf-1-0", "leaf-1-1"], lambda: self.fleet.apply(document))
    self.assertEqual(self.fleet.fetch_upstream_states()["leaf-1-0"], "out")
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_for(
      lambda: self.fleet.fetch_upstream_states()["leaf-1-0"] != "out"
    )
    self.assertEqual(self.fleet.fetch_upstream_states()["leaf-1-0"], "cold")

  def test_upstream_leaving_by_document_gets_no_requests(self):
    document = self.fleet.make_document()
    document["upstreams"][0]["leaving"] = True
    self.run_leave(["leaf-0-0"], lambda: self.fleet.apply(document))

  def test_upstream_is_removed_from_document_and_gets_no_requests(self):
    document = self.fleet.make_document()
    del document["upstreams"][0]
    self.run_leave(["leaf-0-0"], lambda: self.fleet.apply(document))

  def test_upstream_draining_only_by_status_gets_no_requests(self):
    faults = {"draining": True, "silent": True}
    self.run_leave(
      ["leaf-0-1"],
      lambda: self.fleet.set_upstream_faults(leaves={"leaf-0-1": faults}),
    )

  def test_vm_leaving_by_list_of_store_gets_no_requests(self):
    vms = [
      {"vm": "vm-x", "address": "127.0.0.9", "zone": "a", "state": "leaving"}
    ]
    self.fleet.set_store_faults(vms=vms)
    document = self.fleet.make_document()
    host, _, port = document["upstreams"][0]["address"].partition(":")
    document["upstreams"][0]["address"] = f"127.0.0.9:{port}"
    self.fleet.apply(document)
    time.sleep(LEAVE_LIMIT_S)
    since = time.time()
    for node in self.fleet.settings:
      status, reply = self.fleet.search(node, "groups", {})
      self.assertEqual((status, reply["complete"]), (200, True))
    self.assertEqual(self.count_after(["leaf-0-0"], since), 0)


if __name__ == "__main__":
  unittest.main()
