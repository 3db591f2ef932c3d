"""Each caller gets the complete answer to its own request."""

import json
import socket
import threading
import time
import unittest

from tests import fleet
from tests import load
from tests.standins import records

_QUERIES = [
  {"since": 1_700_000_000 + 1000 * n, "until": 1_700_300_000 + 900 * n}
  for n in range(12)
]


class RepliesTest(unittest.TestCase):
  """A fleet of two nodes with many different concurrent searches."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)
    cls.fleet.apply(cls.fleet.make_document())
    cls.fleet.wait_until_warm()
    all_records = records.make_records(7, 2000)
    cls.answers = [
      json.loads(json.dumps(records.evaluate("range", query, all_records)))
      for query in _QUERIES
    ]

  def set_faults(self, **faults: object) -> None:
    faults_by_upstream = {
      upstream["name"]: dict(faults) for upstream in self.fleet.upstreams
    }
    self.fleet.set_upstream_faults(leaves=faults_by_upstream)

  def tearDown(self):
    self.set_faults()

  def run_searches(self, seconds: float) -> tuple[int, list[dict]]:
    """Runs different searches concurrently.

    Args:
      seconds: How long to run them.

    Returns:
      The count of complete answers, and the complete answers that are wrong.
    """
    wrong: list[dict] = []
    complete_searches: list[int] = []
    end = time.monotonic() + seconds

    def search(number: int) -> None:
      while time.monotonic() < end:
        node = f"n{number % 2}"
        _, reply = self.fleet.search(node, "range", _QUERIES[number])
        if reply.get("complete"):
          complete_searches.append(number)
          if reply["result"] != self.answers[number]:
            wrong.append(reply)

    threads = [
      threading.Thread(target=search, args=(n,)) for n in range(len(_QUERIES))
    ]
    for thread in threads:
      thread.start()
    for thread in threads:
      thread.join()
    return len(complete_searches), wrong

  def test_late_replies_and_hedges_do_not_falsify_answers(self):
    self.set_faults(straggle_share=0.2, straggle_s=0.15)
    complete, wrong = self.run_searches(4.0)
    self.assertEqual(wrong, [])
    self.assertGreater(complete, 20)

  def test_crossed_replies_are_not_used(self):
    faults_by_upstream = {"leaf-0-0": {"answer": "other_request"}}
    self.fleet.set_upstream_faults(leaves=faults_by_upstream)
    complete, wrong = self.run_searches(2.0)
    self.assertEqual(wrong, [])
    self.assertGreater(complete, 20)

  def test_callers_that_disconnect_leave_no_search_running(self):
    self.set_faults(straggle_share=0.5, straggle_s=0.2)
    body = json.dumps({"query": _QUERIES[0]}).encode()
    head = (
      f"POST /v1/services/fuel/search/range HTTP/1.1\r\nhost: x\r\n"
      f"content-length: {len(body)}\r\n\r\n"
    ).encode()
    host, _, port = self.fleet.get_address("n0").partition(":")
    for _ in range(40):
      with socket.create_connection((host, int(port))) as caller:
        caller.sendall(head + body)
        time.sleep(0.02)
    complete, wrong = self.run_searches(2.0)
    self.assertEqual(wrong, [])
    self.assertGreater(complete, 10)
    self.fleet.wait_for(lambda: self.fleet.fetch_status("n0")["searches"] == 0)

  def test_caller_that_reads_slowly_does_not_block_other_callers(self):
    body = json.dumps({"query": {**_QUERIES[0], "limit": 2000}}).encode()
    head = (
      f"POST /v1/services/fuel/search/range HTTP/1.1\r\nhost: x\r\n"
      f"content-length: {len(body)}\r\n\r\n"
    ).encode()
    host, _, port = self.fleet.get_address("n0").partition(":")
    slow_callers = [
      socket.create_connection((host, int(port))) for _ in range(8)
    ]
    for caller in slow_callers:
      caller.sendall(head + body)
    complete, wrong = self.run_searches(2.0)
    self.assertEqual(wrong, [])
    self.assertGreater(complete, 20)
    for caller in slow_callers:
      caller.close()

  def test_malformed_request_closes_only_its_connection(self):
    host, _, port = self.fleet.get_address("n0").partition(":")
    for garbage in (b"\x00\x01\x02\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n"):
      with socket.create_connection((host, int(port))) as caller:
        caller.sendall(garbage)
        caller.settimeout(2.0)
        self.assertIn(b"400", caller.recv(200))
    status, _ = self.fleet.search("n0", "groups", {})
    self.assertEqual(status, 200)


class StragglerTest(unittest.TestCase):
  """A fleet in which one of two replicas is slow on each exchange."""

  def count_exchanges(self, test_fleet: fleet.Fleet) -> int:
    """Counts the requests that upstreams have received, with hedges."""
    upstreams = test_fleet.fetch_counts()["leaves"].values()
    return sum(len(upstream["log"]) for upstream in upstreams)

  def test_hedges_stay_within_budget_if_replica_is_slow(self):
    with fleet.Fleet(nodes=2) as test_fleet:
      test_fleet.apply(test_fleet.make_document())
      test_fleet.wait_until_warm()
      slow = {"straggle_share": 1.0, "straggle_s": 0.1}
      test_fleet.set_upstream_faults(
        leaves={"leaf-0-0": slow, "leaf-0-1": slow}
      )
      exchanges_before = self.count_exchanges(test_fleet)
      with load.Load(test_fleet, callers=4) as running_load:
        time.sleep(6.0)
      hedges = sum(r.reply["hedges"] for r in running_load.records)
      exchanges = self.count_exchanges(test_fleet) - exchanges_before
      burst_hedges = 2 * 5
      self.assertLessEqual(hedges, 0.03 * exchanges + burst_hedges)
      self.assertTrue(all(r.is_complete for r in running_load.records))


if __name__ == "__main__":
  unittest.main()
