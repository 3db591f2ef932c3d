"""Coverage that answers report equals the records that they cover."""

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
  """Makes a manifest from inner bounds of shards and counts of records."""
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
  """Checks of manifests and computation of coverage, without processes."""

  @given(
    bounds=strategies.sets(strategies.integers(1, END - 1), max_size=30),
    counts=strategies.lists(strategies.integers(0, 999), min_size=1),
    answered=strategies.sets(strategies.integers(0, 30)),
  )
  @settings(derandomize=True, deadline=None)
  def test_covered_and_missing_ranges_add_up_to_manifest(
    self, bounds, counts, answered
  ):
    manifest = make_manifest(list(bounds), counts)
    self.assertTrue(ranges.check_manifest(manifest).is_ok())
    coverage = ranges.compute_coverage(manifest, answered)
    covered = [e for e in manifest.shards if e.shard in answered]
    self.assertEqual(coverage.covered, sum(e.records for e in covered))
    missing_width = sum(r.high - r.low for r in coverage.missing)
    self.assertEqual(missing_width + sum(e.high - e.low for e in covered), END)
    self.assertEqual(coverage.is_complete, len(covered) == len(manifest.shards))

  def test_manifest_with_gap_overlap_or_repeated_shard_is_rejected(self):
    valid = make_manifest([10, 20], [1])
    first, second, third = valid.shards
    invalid = [
      (first, third),
      (first, second, second, third),
      (first, ranges.ShardEntry(1, 5, 20, 1), third),
      (first, ranges.ShardEntry(0, 10, 20, 1), third),
      (),
    ]
    for shards in invalid:
      with self.subTest(shards=shards):
        manifest = ranges.Manifest(1, 0.0, shards)
        self.assertTrue(ranges.check_manifest(manifest).is_error())


class CoverageTest(unittest.TestCase):
  """A fleet of two nodes whose upstreams have faults."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)
    cls.fleet.apply(cls.fleet.make_document())
    cls.fleet.wait_until_warm()
    cls.all_records = records.make_records(7, 2000)
    cls.shards = records.make_shards(7, 1, 16, cls.all_records)

  def set_faults(self, part: int, replicas: tuple[int, ...], **faults: object):
    """Sets faults on replicas of one part of the shards, clears all others."""
    faults_by_upstream = {
      upstream["name"]: {} for upstream in self.fleet.upstreams
    }
    for replica in replicas:
      faults_by_upstream[f"leaf-{replica}-{part}"] = dict(faults)
    self.fleet.set_upstream_faults(leaves=faults_by_upstream)

  def refill_retry_budget(self):
    """Sends searches that succeed, to refill the retry budget.

    Failures of all replicas in earlier tests have used up the budget.
    """
    self.fleet.set_upstream_faults(
      leaves={upstream["name"]: {} for upstream in self.fleet.upstreams}
    )
    for number in range(40):
      self.fleet.search(f"n{number % 2}", "groups", {})

  def assert_covers_all_but(self, reply: dict, missing: set[int]):
    """Checks coverage and result against the shards that should be covered."""
    covered = [shard for shard in self.shards if shard["shard"] not in missing]
    self.assertEqual(
      reply["coverage"]["covered"], sum(shard["records"] for shard in covered)
    )
    self.assertEqual(reply["coverage"]["total"], 2000)
    records_by_shard = records.slice_records(self.all_records, covered)
    covered_records = tuple(
      record for shard_records in records_by_shard for record in shard_records
    )
    expected = records.evaluate("groups", {}, covered_records)
    self.assertEqual(reply["result"], json.loads(json.dumps(expected)))
    missing_width = sum(
      high - low for low, high in reply["coverage"]["missing"]
    )
    self.assertEqual(
      missing_width,
      sum(
        shard["high"] - shard["low"]
        for shard in self.shards
        if shard["shard"] in missing
      ),
    )

  def test_wrong_replies_of_one_replica_are_replaced_by_other_replica(self):
    for kind in (
      "truncate",
      "malformed",
      "duplicate",
      "fewer_records",
      "other_request",
    ):
      with self.subTest(kind=kind):
        self.refill_retry_budget()
        self.set_faults(0, (0,), answer=kind)
        for node in ("n0", "n1", "n0", "n1"):
          status, reply = self.fleet.search(node, "groups", {})
          self.assertEqual((status, reply["complete"]), (200, True))
          self.assert_covers_all_but(reply, set())

  def test_wrong_replies_of_all_replicas_make_shards_missing(self):
    odd_shards = set(range(1, 16, 2))
    for kind in ("truncate", "malformed", "duplicate", "fewer_records"):
      with self.subTest(kind=kind):
        self.set_faults(1, (0, 1), answer=kind)
        status, reply = self.fleet.search("n0", "groups", {})
        self.assertEqual((status, reply["complete"]), (200, False))
        self.assert_covers_all_but(reply, odd_shards)

  def test_shards_without_reply_before_deadline_are_missing(self):
    self.set_faults(0, (0, 1), straggle_share=1.0, straggle_s=3.0)
    status, reply = self.fleet.search("n0", "groups", {}, deadline_ms=400)
    self.assertEqual((status, reply["complete"]), (200, False))
    self.assert_covers_all_but(reply, set(range(0, 16, 2)))

  def test_caller_requiring_complete_answer_gets_incomplete_error(self):
    self.set_faults(0, (0, 1), straggle_share=1.0, straggle_s=3.0)
    status, reply = self.fleet.search(
      "n0", "groups", {}, deadline_ms=400, complete=True
    )
    self.assertEqual((status, reply["error"]), (503, "incomplete"))
    self.assertNotIn("result", reply)


if __name__ == "__main__":
  unittest.main()
