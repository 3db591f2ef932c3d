"""Every answer comes from one snapshot."""

import json
import time
import unittest

from tests import fleet
from tests import load
from tests.standins import records


def list_wrong_answers(replies: list[load.Record]) -> list[dict]:
  """Lists complete answers that differ from their snapshot's records."""
  wrong = []
  held = records.make_records(7, 2000)
  for record in replies:
    if not record.complete:
      continue
    snapshot = record.reply["snapshot"]
    expected = records.evaluate("groups", {}, held[(snapshot - 1) * 7 :])
    if record.reply["result"] != json.loads(json.dumps(expected)):
      wrong.append(record.reply)
  return wrong


class SnapshotTest(unittest.TestCase):
  """Two nodes, two replicas of two leaves each."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)
    cls.fleet.apply(cls.fleet.make_document())
    cls.fleet.wait_warm()

  def tearDown(self):
    names = [leaf["name"] for leaf in self.fleet.leaves]
    self.fleet.set_upstream_faults(leaves={name: {} for name in names})

  def test_snapshots_change_and_shards_move_during_searches(self):
    names = [leaf["name"] for leaf in self.fleet.leaves]
    with load.Load(self.fleet, callers=3) as running:
      for snapshot in range(1, 5):
        for name in names:
          held = {"snapshots": [snapshot, snapshot + 1]}
          self.fleet.set_upstream_faults(leaves={name: held})
          time.sleep(0.2)
        time.sleep(0.8)
        for name in names:
          held = {"snapshots": [snapshot + 1]}
          self.fleet.set_upstream_faults(leaves={name: held})
          time.sleep(0.2)
    self.assertEqual(list_wrong_answers(running.records), [])
    complete = [r for r in running.records if r.complete]
    self.assertGreater(len({r.reply["snapshot"] for r in complete}), 3)
    self.assertGreater(len(complete), 0.95 * len(running.records))

  def test_part_of_another_snapshot_is_never_merged(self):
    self.fleet.set_upstream_faults(
      leaves={"leaf-0-0": {"answer": "other_snapshot"}}
    )
    with load.Load(self.fleet, callers=2) as running:
      time.sleep(2)
    self.assertEqual(list_wrong_answers(running.records), [])
    self.assertTrue(any(r.complete for r in running.records))

  def test_snapshot_that_no_replica_holds_whole_is_not_chosen(self):
    newest = {"snapshots": [1, 9]}
    self.fleet.set_upstream_faults(leaves={"leaf-0-0": newest})
    time.sleep(1.5)
    status, reply = self.fleet.search("n0", "groups", {})
    self.assertEqual((status, reply["complete"]), (200, True))
    self.assertNotEqual(reply["snapshot"], 9)


if __name__ == "__main__":
  unittest.main()
