"""Each answer is read from one snapshot."""

import json
import time
import unittest

from tests import fleet
from tests import load
from tests.standins import records


def list_wrong_answers(load_records: list[load.RequestRecord]) -> list[dict]:
  """Lists complete answers that differ from the records of their snapshot."""
  wrong = []
  all_records = records.make_records(7, 2000)
  for record in load_records:
    if not record.is_complete:
      continue
    snapshot = record.reply["snapshot"]
    expected = records.evaluate("groups", {}, all_records[(snapshot - 1) * 7 :])
    if record.reply["result"] != json.loads(json.dumps(expected)):
      wrong.append(record.reply)
  return wrong


class SnapshotTest(unittest.TestCase):
  """A fleet of two nodes and two replicas, of two upstreams each."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)
    cls.fleet.apply(cls.fleet.make_document())
    cls.fleet.wait_until_warm()

  def tearDown(self):
    names = [upstream["name"] for upstream in self.fleet.upstreams]
    self.fleet.set_upstream_faults(leaves={name: {} for name in names})

  def test_snapshots_changing_during_searches_do_not_falsify_answers(self):
    names = [upstream["name"] for upstream in self.fleet.upstreams]
    with load.Load(self.fleet, callers=3) as running_load:
      for snapshot in range(1, 5):
        for name in names:
          faults = {"snapshots": [snapshot, snapshot + 1]}
          self.fleet.set_upstream_faults(leaves={name: faults})
          time.sleep(0.2)
        time.sleep(0.8)
        for name in names:
          faults = {"snapshots": [snapshot + 1]}
          self.fleet.set_upstream_faults(leaves={name: faults})
          time.sleep(0.2)
    self.assertEqual(list_wrong_answers(running_load.records), [])
    complete = [r for r in running_load.records if r.is_complete]
    self.assertGreater(len({r.reply["snapshot"] for r in complete}), 3)
    self.assertGreater(len(complete), 0.95 * len(running_load.records))

  def test_part_of_other_snapshot_is_not_merged(self):
    self.fleet.set_upstream_faults(
      leaves={"leaf-0-0": {"answer": "other_snapshot"}}
    )
    with load.Load(self.fleet, callers=2) as running_load:
      time.sleep(2)
    self.assertEqual(list_wrong_answers(running_load.records), [])
    self.assertTrue(any(r.is_complete for r in running_load.records))

  def test_snapshot_with_missing_shards_is_not_chosen(self):
    faults = {"snapshots": [1, 9]}
    self.fleet.set_upstream_faults(leaves={"leaf-0-0": faults})
    time.sleep(1.5)
    status, reply = self.fleet.search("n0", "groups", {})
    self.assertEqual((status, reply["complete"]), (200, True))
    self.assertNotEqual(reply["snapshot"], 9)


if __name__ == "__main__":
  unittest.main()
