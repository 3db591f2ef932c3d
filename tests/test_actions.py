"""Actions run at most once; one reported as "not run" has not run."""

import signal
import time
import unittest

from tests import fleet
from tests import load


class ActionsTest(unittest.TestCase):
  """A fleet of three nodes, with a failure at each step of an action."""

  def setUp(self):
    self.fleet = fleet.Fleet(nodes=3)
    self.enterContext(self.fleet)
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_until_warm()

  def assert_at_most_once(self) -> dict[str, int]:
    executions = self.fleet.fetch_counts()["executions"]
    doubled = {key: n for key, n in executions.items() if n > 1}
    self.assertEqual(doubled, {})
    return executions

  def assert_reported_outcomes_are_true(
    self, load_records: list[load.RequestRecord]
  ) -> None:
    """Checks that no action reported as "not run" has run.

    Each key must have been sent only once.

    It also checks that each action reported as done ran exactly once.
    """
    executions = self.assert_at_most_once()
    not_run_keys = [
      r.key
      for r in load_records
      if r.key and r.reply.get("outcome") == "not_run"
    ]
    self.assertEqual([key for key in not_run_keys if key in executions], [])
    done_keys = [r.key for r in load_records if r.key and r.status == 200]
    self.assertEqual([key for key in done_keys if executions.get(key) != 1], [])

  def test_actions_run_at_most_once_if_store_loses_replies_after_writing(self):
    self.fleet.set_store_faults(lose=0.3)
    with load.Load(self.fleet, callers=4, action_share=1.0) as running_load:
      time.sleep(4.0)
    self.fleet.set_store_faults(lose=0.0)
    self.assert_reported_outcomes_are_true(running_load.records)
    done = sum(r.status == 200 for r in running_load.records)
    self.assertGreater(done, 0.9 * len(running_load.records))

  def test_action_whose_claim_a_restore_lost_runs_twice(self):
    self.fleet.set_store_faults(copy=True)
    self.assertEqual(self.fleet.run_action("n0", "lost-1", {})[0], 200)
    self.fleet.set_store_faults(restore=True)
    until = time.monotonic() + 8.0
    repeated = {}
    while time.monotonic() < until and not repeated.get("repeated"):
      status, repeated = self.fleet.run_action("n1", "lost-1", {})
      self.assertIn(status, (200, 503))
      time.sleep(0.2)
    self.assert_at_most_once()
    self.assertTrue(repeated.get("repeated"))
    # New claims wait until nodes can have written theirs again.
    self.fleet.wait_for(
      lambda: self.fleet.run_action("n2", "new-1", {})[0] == 200
    )
    self.assert_at_most_once()

  def test_action_is_not_run_and_search_is_answered_while_store_is_down(self):
    self.fleet.set_store_faults(down=True)
    status, reply = self.fleet.run_action("n0", "down-1", {})
    self.assertEqual((status, reply["outcome"]), (503, "not_run"))
    status, reply = self.fleet.search("n0", "groups", {})
    self.assertEqual((status, reply["complete"]), (200, True))
    self.fleet.set_store_faults(down=False)
    self.assertNotIn("down-1", self.fleet.fetch_counts()["executions"])
    self.fleet.wait_for(
      lambda: self.fleet.run_action("n1", "down-1", {})[0] == 200, timeout_s=20
    )
    self.assert_at_most_once()

  def test_concurrent_actions_with_same_key_run_at_most_once(self):
    with (
      load.Load(self.fleet, callers=1, action_share=1.0, seed=3) as first,
      load.Load(self.fleet, callers=1, action_share=1.0, seed=4) as second,
    ):
      time.sleep(3.0)
    # Both loads use the same keys and bodies, whatever their seeds.
    self.assert_at_most_once()
    by_key = {r.key: r for r in first.records if r.status == 200}
    for record in second.records:
      if record.status == 200 and record.key in by_key:
        self.assertEqual(
          record.reply["result"], by_key[record.key].reply["result"]
        )

  def test_action_runs_at_most_once_if_owner_is_killed_after_sending(self):
    faults = {
      upstream["name"]: {"hang_actions": 1.0}
      for upstream in self.fleet.upstreams
    }
    self.fleet.set_upstream_faults(leaves=faults)
    with load.Load(
      self.fleet, callers=6, nodes=["n0"], action_share=1.0
    ) as running_load:
      time.sleep(0.7)
      self.fleet.processes["n1"].kill()
      self.fleet.processes["n2"].kill()
      time.sleep(3.0)
    self.assert_reported_outcomes_are_true(running_load.records)
    time.sleep(1.5)
    for record in list(running_load.records)[:10]:
      self.fleet.run_action("n0", record.key, {"key": record.key})
    self.assert_at_most_once()

  def test_retried_action_runs_at_most_once_if_entry_node_is_killed(self):
    faults = {
      upstream["name"]: {"hang_actions": 0.8}
      for upstream in self.fleet.upstreams
    }
    self.fleet.set_upstream_faults(leaves=faults)
    with load.Load(
      self.fleet, callers=4, nodes=["n0"], action_share=1.0
    ) as running_load:
      time.sleep(0.5)
      self.fleet.processes["n0"].kill()
      time.sleep(0.3)
    self.fleet.set_upstream_faults(leaves={name: {} for name in faults})
    retried = [r for r in running_load.records if r.status == 0][:6]
    for record in retried:
      status, reply = self.fleet.run_action(
        "n1", record.key, {"key": record.key}, 500
      )
      self.assertTrue(
        status == 200 or reply["outcome"] in ("unknown", "not_run"), reply
      )
    self.assert_at_most_once()

  def test_action_runs_at_most_once_if_owner_is_paused_past_its_lease(self):
    with load.Load(self.fleet, callers=4, action_share=0.5) as running_load:
      time.sleep(0.5)
      self.fleet.processes["n1"].send_signal(signal.SIGSTOP)
      time.sleep(6.0)
      self.fleet.processes["n1"].send_signal(signal.SIGCONT)
      time.sleep(3.0)
    self.assert_reported_outcomes_are_true(running_load.records)

  def test_outcome_is_unknown_if_upstream_fails_after_running_action(self):
    faults = {
      upstream["name"]: {"fail_share": 0.5, "route": "book"}
      for upstream in self.fleet.upstreams
    }
    self.fleet.set_upstream_faults(leaves=faults)
    with load.Load(self.fleet, callers=4, action_share=1.0) as running_load:
      time.sleep(2.0)
    self.assert_reported_outcomes_are_true(running_load.records)
    unknown = [r for r in running_load.records if r.status == 502]
    self.assertTrue(unknown)
    self.assertEqual({r.reply["outcome"] for r in unknown}, {"unknown"})

  def test_action_shed_by_all_upstreams_is_not_run_and_runs_on_retry(self):
    names = [upstream["name"] for upstream in self.fleet.upstreams]
    self.fleet.set_upstream_faults(leaves={n: {"shed": True} for n in names})
    status, reply = self.fleet.run_action("n0", "shed-1", {})
    self.assertEqual((status, reply["outcome"]), (503, "not_run"))
    self.fleet.set_upstream_faults(leaves={n: {} for n in names})
    self.assertEqual(self.fleet.run_action("n1", "shed-1", {})[0], 200)
    self.assertEqual(self.fleet.fetch_counts()["executions"]["shed-1"], 1)


if __name__ == "__main__":
  unittest.main()
