"""Actions run at most once, and "not run" is true."""

import signal
import time
import unittest

from tests import fleet
from tests import load


class ActionsTest(unittest.TestCase):
  """Three nodes; failures are set on every step of an action."""

  def setUp(self):
    self.fleet = fleet.Fleet(nodes=3)
    self.enterContext(self.fleet)
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_warm()

  def assert_at_most_once(self) -> dict[str, int]:
    executions = self.fleet.counts()["executions"]
    doubled = {key: n for key, n in executions.items() if n > 1}
    self.assertEqual(doubled, {})
    return executions

  def assert_not_run_is_true(self, replies: list[load.Record]) -> None:
    """Checks keys that were used once and whose caller was told "not run"."""
    executions = self.assert_at_most_once()
    refused = [
      r.key for r in replies if r.key and r.reply.get("outcome") == "not_run"
    ]
    self.assertEqual([key for key in refused if key in executions], [])
    done = [r.key for r in replies if r.key and r.status == 200]
    self.assertEqual([key for key in done if executions.get(key) != 1], [])

  def test_platform_loses_replies_after_the_effect(self):
    self.fleet.set_platform_faults(lose=0.3)
    with load.Load(self.fleet, callers=4, action_share=1.0) as running:
      time.sleep(4.0)
    self.fleet.set_platform_faults(lose=0.0)
    self.assert_not_run_is_true(running.records)
    done = sum(r.status == 200 for r in running.records)
    self.assertGreater(done, 0.9 * len(running.records))

  def test_platform_is_down(self):
    self.fleet.set_platform_faults(down=True)
    status, reply = self.fleet.act("n0", "down-1", {})
    self.assertEqual((status, reply["outcome"]), (503, "not_run"))
    status, reply = self.fleet.search("n0", "groups", {})
    self.assertEqual((status, reply["complete"]), (200, True))
    self.fleet.set_platform_faults(down=False)
    self.assertNotIn("down-1", self.fleet.counts()["executions"])
    self.fleet.wait_for(
      lambda: self.fleet.act("n1", "down-1", {})[0] == 200, timeout_s=20
    )
    self.assert_at_most_once()

  def test_callers_retry_at_every_node_at_once(self):
    with (
      load.Load(self.fleet, callers=1, action_share=1.0, seed=3) as first,
      load.Load(self.fleet, callers=1, action_share=1.0, seed=4) as second,
    ):
      time.sleep(3.0)
    # Both loads use the same keys and bodies.
    self.assert_at_most_once()
    by_key = {r.key: r for r in first.records if r.status == 200}
    for record in second.records:
      if record.status == 200 and record.key in by_key:
        self.assertEqual(
          record.reply["result"], by_key[record.key].reply["result"]
        )

  def test_owner_is_killed_after_sending(self):
    hang = {leaf["name"]: {"hang_actions": 1.0} for leaf in self.fleet.leaves}
    self.fleet.set_upstream_faults(leaves=hang)
    with load.Load(
      self.fleet, callers=6, nodes=["n0"], action_share=1.0
    ) as running:
      time.sleep(0.7)
      self.fleet.processes["n1"].kill()
      self.fleet.processes["n2"].kill()
      time.sleep(3.0)
    self.assert_not_run_is_true(running.records)
    time.sleep(1.5)
    for record in list(running.records)[:10]:
      self.fleet.act("n0", record.key, {"key": record.key})
    self.assert_at_most_once()

  def test_entry_is_killed_and_the_caller_retries(self):
    hang = {leaf["name"]: {"hang_actions": 0.8} for leaf in self.fleet.leaves}
    self.fleet.set_upstream_faults(leaves=hang)
    with load.Load(
      self.fleet, callers=4, nodes=["n0"], action_share=1.0
    ) as running:
      time.sleep(0.5)
      self.fleet.processes["n0"].kill()
      time.sleep(0.3)
    self.fleet.set_upstream_faults(leaves={name: {} for name in hang})
    retried = [r for r in running.records if r.status == 0][:6]
    for record in retried:
      status, reply = self.fleet.act("n1", record.key, {"key": record.key}, 500)
      self.assertTrue(
        status == 200 or reply["outcome"] in ("unknown", "not_run"), reply
      )
    self.assert_at_most_once()

  def test_owner_is_paused_past_its_lease(self):
    with load.Load(self.fleet, callers=4, action_share=0.5) as running:
      time.sleep(0.5)
      self.fleet.processes["n1"].send(signal.SIGSTOP)
      time.sleep(6.0)
      self.fleet.processes["n1"].send(signal.SIGCONT)
      time.sleep(3.0)
    self.assert_not_run_is_true(running.records)

  def test_upstream_fails_after_running(self):
    faults = {
      leaf["name"]: {"fail_share": 0.5, "route": "book"}
      for leaf in self.fleet.leaves
    }
    self.fleet.set_upstream_faults(leaves=faults)
    with load.Load(self.fleet, callers=4, action_share=1.0) as running:
      time.sleep(2.0)
    self.assert_not_run_is_true(running.records)
    unknown = [r for r in running.records if r.status == 502]
    self.assertTrue(unknown)
    self.assertEqual({r.reply["outcome"] for r in unknown}, {"unknown"})

  def test_upstreams_shed(self):
    names = [leaf["name"] for leaf in self.fleet.leaves]
    self.fleet.set_upstream_faults(leaves={n: {"shed": True} for n in names})
    status, reply = self.fleet.act("n0", "shed-1", {})
    self.assertEqual((status, reply["outcome"]), (503, "not_run"))
    self.fleet.set_upstream_faults(leaves={n: {} for n in names})
    self.assertEqual(self.fleet.act("n1", "shed-1", {})[0], 200)
    self.assertEqual(self.fleet.counts()["executions"]["shed-1"], 1)


if __name__ == "__main__":
  unittest.main()
