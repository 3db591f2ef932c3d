"""Requests from callers through nodes to upstreams and back."""

import json
import unittest

from tests import fleet
from tests.standins import records

QUERIES = {
  "range": {"since": 1_700_100_000, "until": 1_700_200_000, "limit": 50},
  "top": {"limit": 7},
  "nearest": {"x": 400, "y": 90_000, "gas": "argon", "limit": 5},
  "groups": {},
}


class PathTest(unittest.TestCase):
  """A fleet of two nodes and four upstreams."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)
    cls.fleet.apply(cls.fleet.make_document())
    cls.fleet.wait_until_warm()

  def test_search_returns_result_of_direct_evaluation(self):
    all_records = records.make_records(7, 2000)
    for route, query in QUERIES.items():
      for node in ("n0", "n1"):
        with self.subTest(route=route, node=node):
          status, reply = self.fleet.search(node, route, query)
          self.assertEqual(status, 200)
          self.assertTrue(reply["complete"])
          self.assertEqual(
            reply["coverage"], {"covered": 2000, "total": 2000, "missing": []}
          )
          expected = records.evaluate(route, query, all_records)
          self.assertEqual(reply["result"], json.loads(json.dumps(expected)))

  def test_action_repeated_with_same_key_runs_once(self):
    first = self.fleet.run_action("n0", "key-1", {"truck": 4})
    second = self.fleet.run_action("n1", "key-1", {"truck": 4})
    self.assertEqual((first[0], second[0]), (200, 200))
    self.assertEqual(first[1]["result"], second[1]["result"])
    self.assertEqual(
      (first[1]["repeated"], second[1]["repeated"]), (False, True)
    )
    self.assertEqual(self.fleet.fetch_counts()["executions"]["key-1"], 1)

  def test_key_reused_with_another_body_is_refused(self):
    self.fleet.run_action("n0", "key-2", {"truck": 4})
    status, reply = self.fleet.run_action("n1", "key-2", {"truck": 5})
    self.assertEqual((status, reply["error"]), (422, "key_reused"))
    self.assertEqual(reply["outcome"], "not_run")

  def test_addresses_list_zone_of_caller_first(self):
    path = "/v1/addresses?zone=b"
    _, reply = fleet.call("GET", self.fleet.get_address("n0"), path)
    self.assertEqual([a["zone"] for a in reply["addresses"]], ["b", "a"])
    self.assertGreater(reply["keep_s"], 0)

  def test_bad_requests_get_matching_status_and_error(self):
    address = self.fleet.get_address("n0")
    search = "/v1/services/fuel/search/"
    cases = [
      ("/v1/services/none/search/top", {"query": {}}, 404, "unknown_service"),
      (search + "none", {"query": {}}, 404, "unknown_route"),
      (search + "book", {"query": {}}, 404, "unknown_route"),
      (search + "top", {}, 400, "bad_request"),
      (search + "top", {"query": {}, "deadline_ms": 0}, 400, "bad_request"),
      (search + "top", {"query": {}, "deadline_ms": 1e9}, 400, "bad_request"),
      (search + "top", {"query": {"limit": -1}}, 400, "bad_request"),
      (search + "top", {"query": "x" * 400_000}, 413, "too_large"),
    ]
    for path, body, status, error in cases:
      with self.subTest(path=path, error=error):
        actual_status, reply = fleet.call("POST", address, path, body)
        self.assertEqual((actual_status, reply["error"]), (status, error))
        self.assertEqual(reply["outcome"], "not_run")

  def test_action_without_key_is_refused(self):
    path = "/v1/services/fuel/actions/book"
    status, reply = fleet.call("POST", self.fleet.get_address("n0"), path, {})
    self.assertEqual((status, reply["error"]), (400, "bad_request"))


class WideTest(unittest.TestCase):
  """A fleet of eight nodes and 200 shards."""

  def test_search_over_200_shards_returns_result_of_direct_evaluation(self):
    all_records = records.make_records(7, 3000)
    with fleet.Fleet(nodes=8, shards=200, records=3000) as wide_fleet:
      wide_fleet.apply(wide_fleet.make_document())
      wide_fleet.wait_until_warm()
      for route, query in QUERIES.items():
        for node in wide_fleet.settings:
          with self.subTest(route=route, node=node):
            _, reply = wide_fleet.search(node, route, query)
            expected = records.evaluate(route, query, all_records)
            self.assertEqual(reply["result"], json.loads(json.dumps(expected)))
            self.assertEqual(reply["coverage"]["covered"], 3000)
      metrics = wide_fleet.fetch_metrics("n0")
      self.assertIn("bronzefold_requests_total", metrics)
      self.assertIn("bronzefold_coverage_share", metrics)


if __name__ == "__main__":
  unittest.main()
