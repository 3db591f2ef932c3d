"""Every answer says truly how much of the records it covers."""

import json
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.core import ranges
from tests import fleet
from tests.standins import records

END = 1 << 32


def make_manifest(bounds: list[int], counts: list[int]) -> ranges.Manifest:
  """Makes a manifest from inner bounds and counts of records."""
  edges = [0, *sorted(bounds), END]
  return ranges.Manifest(
    1,
    0.0,
    tuple(
      ranges.ShardEntry(number, low, high, counts[number % len(counts)])
      for number, (low, high) in enumerate(
        zip(edges[:-1], edges[1:], strict=True)
      )
    ),
  )


class RangesTest(unittest.TestCase):
  """Manifests and coverage, without processes."""

  @given(
    bounds=strategies.sets(strategies.integers(1, END - 1), max_size=30),
    counts=strategies.lists(strategies.integers(0, 999), min_size=1),
    answered=strategies.sets(strategies.integers(0, 30)),
  )
  @settings(derandomize=True, deadline=None)
  def test_coverage_adds_up(self, bounds, counts, answered):
    manifest = make_manifest(list(bounds), counts)
    self.assertTrue(ranges.check_manifest(manifest).is_ok())
    coverage = ranges.compute_coverage(manifest, answered)
    covered = [e for e in manifest.shards if e.shard in answered]
    self.assertEqual(coverage.covered, sum(e.records for e in covered))
    missing = sum(r.high - r.low for r in coverage.missing)
    self.assertEqual(missing + sum(e.high - e.low for e in covered), END)
    self.assertEqual(coverage.is_complete, len(covered) == len(manifest.shards))

  def test_gap_overlap_and_repetition_are_refused(self):
    good = make_manifest([10, 20], [1])
    first, second, third = good.shards
    bad = [
      (first, third),
      (first, second, second, third),
      (first, ranges.ShardEntry(1, 5, 20, 1), third),
      (first, ranges.ShardEntry(0, 10, 20, 1), third),
      (),
    ]
    for shards in bad:
      with self.subTest(shards=shards):
        manifest = ranges.Manifest(1, 0.0, shards)
        self.assertTrue(ranges.check_manifest(manifest).is_error())


class CoverageTest(unittest.TestCase):
  """Two nodes; faults are set on upstreams."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)
    cls.fleet.apply(cls.fleet.make_document())
    cls.fleet.wait_warm()
    cls.held = records.make_records(7, 2000)
    cls.shards = records.make_shards(7, 1, 16, cls.held)

  def set_faults(self, part: int, replicas: tuple[int, ...], **faults: object):
    """Sets faults on the replicas of one part of the shards."""
    leaves = {leaf["name"]: {} for leaf in self.fleet.leaves}
    for replica in replicas:
      leaves[f"leaf-{replica}-{part}"] = dict(faults)
    self.fleet.set_upstream_faults(leaves=leaves)

  def earn_retries(self):
    """Sends good traffic, as earlier total failures used up the budget."""
    self.fleet.set_upstream_faults(
      leaves={leaf["name"]: {} for leaf in self.fleet.leaves}
    )
    for number in range(40):
      self.fleet.search(f"n{number % 2}", "groups", {})

  def assert_true_coverage(self, reply: dict, missing: set[int]):
    """Compares an answer with the records of the shards that it covers."""
    covered = [s for s in self.shards if s["shard"] not in missing]
    self.assertEqual(
      reply["coverage"]["covered"], sum(s["records"] for s in covered)
    )
    self.assertEqual(reply["coverage"]["total"], 2000)
    slices = records.slice_records(self.held, covered)
    part = tuple(record for held in slices for record in held)
    wanted = records.evaluate("groups", {}, part)
    self.assertEqual(reply["result"], json.loads(json.dumps(wanted)))
    width = sum(high - low for low, high in reply["coverage"]["missing"])
    self.assertEqual(
      width,
      sum(s["high"] - s["low"] for s in self.shards if s["shard"] in missing),
    )

  def test_wrong_replies_of_one_replica_are_replaced(self):
    for kind in (
      "truncate",
      "malformed",
      "duplicate",
      "fewer_records",
      "other_request",
    ):
      with self.subTest(kind=kind):
        self.earn_retries()
        self.set_faults(0, (0,), answer=kind)
        for node in ("n0", "n1", "n0", "n1"):
          status, reply = self.fleet.search(node, "groups", {})
          self.assertEqual((status, reply["complete"]), (200, True))
          self.assert_true_coverage(reply, set())

  def test_wrong_replies_of_all_replicas_are_missing(self):
    odd = set(range(1, 16, 2))
    for kind in ("truncate", "malformed", "duplicate", "fewer_records"):
      with self.subTest(kind=kind):
        self.set_faults(1, (0, 1), answer=kind)
        status, reply = self.fleet.search("n0", "groups", {})
        self.assertEqual((status, reply["complete"]), (200, False))
        self.assert_true_coverage(reply, odd)

  def test_stragglers_past_the_deadline_are_missing(self):
    self.set_faults(0, (0, 1), straggle_share=1.0, straggle_s=3.0)
    status, reply = self.fleet.search("n0", "groups", {}, deadline_ms=400)
    self.assertEqual((status, reply["complete"]), (200, False))
    self.assert_true_coverage(reply, set(range(0, 16, 2)))

  def test_caller_that_demands_all_gets_an_error(self):
    self.set_faults(0, (0, 1), straggle_share=1.0, straggle_s=3.0)
    status, reply = self.fleet.search(
      "n0", "groups", {}, deadline_ms=400, complete=True
    )
    self.assertEqual((status, reply["error"]), (503, "incomplete"))
    self.assertNotIn("result", reply)


if __name__ == "__main__":
  unittest.main()
