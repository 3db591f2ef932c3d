"""Rollouts of a version: decisions of one node, and a fleet of two nodes."""

import json
import time
import unittest

import attrs

from bronzefold import store
from bronzefold.core import evidence
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import rollouts
from bronzefold.gateway import sending
from tests import gateways
from tests.standins import site as sites

# Limits of the platform for the requests that a bad version may get.
CANARY_SHARE = 0.1
CANARY_SLACK = 50
ORDER = rollouts.RolloutOrder("s", "v2", 30.0, 7)
FAILED = evidence.ExchangeCounts(failed=6)
GOOD = evidence.ExchangeCounts(good=300)


def make_upstream(name: str, version: str) -> inventory.Upstream:
  """Makes an upstream without connections."""
  instance = model.Instance(name, "s", "h:1", "a", version)
  return inventory.Upstream(instance, pool=None)


OLD = make_upstream("o", "v1")
NEW = make_upstream("n", "v2")


def make_attempt(
  upstream: inventory.Upstream,
  outcome: sending.Outcome,
  started_at: float = 0.0,
  is_abandoned: bool = False,
) -> sending.Attempt:
  """Makes an attempt with an outcome."""
  return sending.Attempt(
    upstream, "s", started_at, outcome=outcome, is_abandoned=is_abandoned
  )


class RolloutTest(unittest.TestCase):
  """Decisions at given times; the order of 30 s is received at 0 s."""

  def setUp(self):
    self.rollouts = rollouts.Rollouts()
    self.rollouts.set_order(ORDER, 0.0)

  def count_choices(self, now: float, count: int = 1000) -> dict[str, int]:
    """Counts the versions that first attempts go to."""
    versions = [
      self.rollouts.filter_upstreams("s", [OLD, NEW], True, now)[
        0
      ].instance.version
      for _ in range(count)
    ]
    return {name: versions.count(name) for name in ("v1", "v2")}

  def add_counts(self, *pairs: tuple[str, evidence.ExchangeCounts]) -> None:
    """Adds another node's counts of versions at 5 s."""
    for version, counts in pairs:
      version_counts = rollouts.VersionCounts("s", version, "r", counts)
      self.rollouts.add_peer_counts(version_counts, False, 5.0)

  def set_record(self, state: rollouts.RolloutState, revision: int) -> None:
    self.rollouts.set_record(rollouts.RolloutRecord("s", "v2", state, revision))

  def list_due_states(
    self, rank: int, now: float
  ) -> list[rollouts.RolloutState]:
    return [
      record.state for record in self.rollouts.list_due_records(rank, now)
    ]

  def test_final_record_lost_by_a_restore_reopens_the_rollout(self):
    for state in (
      rollouts.RolloutState.DONE,
      rollouts.RolloutState.ROLLED_BACK,
    ):
      with self.subTest(state=state):
        self.setUp()
        self.set_record(state, 9)
        self.rollouts.remove_record("s")
        self.assertIs(self.rollouts.get_state("s"), state)
        self.assertEqual(self.list_due_states(0, 10.0), [state])
        self.set_record(rollouts.RolloutState.RUNNING, store.eras.join(1, 8))
        self.assertIs(self.rollouts.get_state("s"), state)
        (record,) = self.rollouts.list_due_records(0, 10.0)
        self.assertEqual(record.revision, store.eras.join(1, 8))

  def test_order_written_again_after_a_restore_starts_anew(self):
    self.set_record(rollouts.RolloutState.ROLLED_BACK, 9)
    rewritten = attrs.evolve(ORDER, revision=store.eras.join(1, 6))
    self.assertFalse(self.rollouts.set_order(rewritten, 10.0))
    self.assertIs(
      self.rollouts.get_state("s"), rollouts.RolloutState.ROLLED_BACK
    )
    other = attrs.evolve(rewritten, version="v3")
    self.assertTrue(self.rollouts.set_order(other, 10.0))

  def test_without_order_all_versions_are_candidates(self):
    chosen = rollouts.Rollouts().filter_upstreams("s", [OLD, NEW], True, 0.0)
    self.assertEqual(chosen, [OLD, NEW])

  def test_new_version_gets_canary_share_until_final_shift(self):
    self.assertEqual(self.count_choices(20.0), {"v1": 950, "v2": 50})
    self.assertEqual(self.count_choices(26.5), {"v1": 0, "v2": 1000})

  def test_later_attempts_go_to_old_version(self):
    chosen = self.rollouts.filter_upstreams("s", [OLD, NEW], False, 27.0)
    self.assertEqual(chosen, [OLD])

  def test_failing_version_is_rolled_back_permanently(self):
    self.add_counts(("v1", GOOD), ("v2", FAILED))
    self.assertEqual(self.count_choices(29.0), {"v1": 1000, "v2": 0})
    self.assertEqual(self.rollouts.filter_upstreams("s", [NEW], True, 29.0), [])
    self.assertEqual(
      self.list_due_states(0, 29.0), [rollouts.RolloutState.ROLLED_BACK]
    )
    self.set_record(rollouts.RolloutState.ROLLED_BACK, 9)
    self.assertEqual(self.list_due_states(0, 40.0), [])
    self.assertEqual(self.count_choices(40.0)["v2"], 0)

  def test_slow_version_is_rolled_back(self):
    for number in range(200):
      started_at = number / 100
      served = make_attempt(OLD, sending.Outcome.SERVED, started_at)
      self.rollouts.record_attempt(served, "r", started_at + 0.02)
    for _ in range(2):
      slow = make_attempt(NEW, sending.Outcome.SERVED, 5.0)
      self.rollouts.record_attempt(slow, "r", 5.1)
      abandoned = make_attempt(
        NEW, sending.Outcome.UNKNOWN, 5.0, is_abandoned=True
      )
      self.rollouts.record_attempt(abandoned, "r", 5.1)
    self.assertEqual(
      self.rollouts.get_state("s"), rollouts.RolloutState.ROLLED_BACK
    )

  def test_refusals_and_quickly_abandoned_attempts_are_not_counted(self):
    self.add_counts(("v1", GOOD))
    for _ in range(50):
      refused = make_attempt(NEW, sending.Outcome.NOT_RUN)
      self.rollouts.record_attempt(refused, "r", 0.01)
      abandoned = make_attempt(NEW, sending.Outcome.UNKNOWN, is_abandoned=True)
      self.rollouts.record_attempt(abandoned, "r", 0.01)
    self.assertEqual(
      self.rollouts.get_state("s"), rollouts.RolloutState.RUNNING
    )

  def test_rollout_continues_when_both_versions_fail_alike(self):
    self.add_counts(("v1", FAILED), ("v2", FAILED))
    self.assertEqual(
      self.rollouts.get_state("s"), rollouts.RolloutState.RUNNING
    )

  def test_records_become_due_in_order_of_rank(self):
    states = rollouts.RolloutState
    self.assertEqual(self.list_due_states(0, 0.0), [states.RUNNING])
    self.assertEqual(self.list_due_states(2, 0.5), [])
    self.set_record(states.RUNNING, 8)
    self.assertEqual(self.list_due_states(0, 20.0), [])
    self.assertEqual(self.list_due_states(0, 27.7), [states.DONE])
    self.assertEqual(self.list_due_states(1, 27.7), [])
    self.assertEqual(self.list_due_states(1, 28.5), [states.DONE])
    self.assertEqual(self.rollouts.list_due_records(0, 27.7)[0].revision, 8)
    self.set_record(states.DONE, 10)
    self.assertEqual(self.list_due_states(1, 28.5), [])
    self.assertEqual(self.count_choices(29.0)["v1"], 0)

  def test_record_of_earlier_order_is_ignored(self):
    self.set_record(rollouts.RolloutState.DONE, 5)
    self.assertEqual(
      self.rollouts.get_state("s"), rollouts.RolloutState.RUNNING
    )
    (record,) = self.rollouts.list_due_records(0, 0.0)
    self.assertEqual(record.revision, 5)

  def test_removed_record_is_due_again(self):
    self.set_record(rollouts.RolloutState.RUNNING, 8)
    self.assertTrue(self.rollouts.remove_record("s"))
    (record,) = self.rollouts.list_due_records(0, 1.0)
    self.assertEqual(record.revision, 0)

  def test_proven_version_is_not_judged_once_it_is_done(self):
    self.set_record(rollouts.RolloutState.DONE, 8)
    self.add_counts(("v2", evidence.ExchangeCounts(good=30)))
    with self.assertNoLogs("bronzefold.gateway.rollouts", "WARNING"):
      self.add_counts(("v1", GOOD), ("v2", FAILED))
    self.assertEqual(self.rollouts.get_state("s"), rollouts.RolloutState.DONE)

  def test_counts_of_other_nodes_are_relayed_only_on_request(self):
    version_counts = rollouts.VersionCounts(
      "s", "v2", "r", evidence.ExchangeCounts(good=2)
    )
    self.rollouts.add_peer_counts(version_counts, False, 1.0)
    self.assertEqual(self.rollouts.pop_unsent_counts(), [])
    self.rollouts.add_peer_counts(version_counts, True, 1.0)
    self.assertEqual(self.rollouts.pop_unsent_counts(), [version_counts])

  def test_withdrawn_order_ends_rollout(self):
    self.assertTrue(self.rollouts.cancel_order("s"))
    self.assertIsNone(self.rollouts.get_state("s"))

  def test_counts_of_this_node_are_sent_once(self):
    served = make_attempt(NEW, sending.Outcome.SERVED)
    self.rollouts.record_attempt(served, "r", 0.01)
    (version_counts,) = self.rollouts.pop_unsent_counts()
    self.assertEqual(
      (version_counts.version, version_counts.counts.good), ("v2", 1)
    )
    self.assertEqual(self.rollouts.pop_unsent_counts(), [])


class ProofTest(unittest.TestCase):
  """A version must serve enough before its rollout is done."""

  def setUp(self):
    self.rollouts = rollouts.Rollouts()
    self.rollouts.set_order(ORDER, 0.0)

  def serve(
    self,
    all_rollouts: rollouts.Rollouts,
    per_s: int,
    start: int,
    end: int,
    **new_counts: int,
  ) -> None:
    """Counts requests of each second as the rollout distributes them.

    Args:
      all_rollouts: The rollouts of the node.
      per_s: Requests in a second.
      start: Time of the first second.
      end: Time of the last second.
      **new_counts: Counts of the new version for 10 of its requests.
    """
    new_counts = new_counts or {"good": 10}
    for now in range(start, end):
      all_rollouts.advance(float(now))
      for number in range(per_s):
        at = now + number / per_s
        (upstream, *_) = all_rollouts.filter_upstreams(
          "s", [OLD, NEW], True, at
        )
        if upstream is OLD:
          counts = evidence.ExchangeCounts(good=1)
        else:
          self.new_count += 1
          is_bad = self.new_count % 10 >= new_counts.get("good", 0)
          counts = evidence.ExchangeCounts(good=not is_bad, failed=is_bad)
        version_counts = rollouts.VersionCounts(
          "s", upstream.instance.version, "r", counts
        )
        all_rollouts.add_peer_counts(version_counts, False, at)

  new_count = 0

  def list_due_states(self, now: float) -> list[rollouts.RolloutState]:
    return [
      record.state
      for record in self.rollouts.list_due_records(0, now)
      if record.state is not rollouts.RolloutState.RUNNING
    ]

  def test_bad_version_of_a_service_with_few_requests_is_not_done(self):
    for per_s in (1, 3, 5, 20):
      for good in (0, 4, 6):
        with self.subTest(per_s=per_s, good=good):
          self.setUp()
          self.new_count = 0
          self.serve(self.rollouts, per_s, 0, 62, good=good)
          self.assertIs(
            self.rollouts.get_state("s"), rollouts.RolloutState.ROLLED_BACK
          )
          self.assertLess(
            self.new_count,
            CANARY_SLACK + CANARY_SHARE * per_s * ORDER.duration_s,
          )

  def test_good_version_of_a_service_with_few_requests_is_done_in_time(self):
    for per_s in (1, 3, 5, 20):
      with self.subTest(per_s=per_s):
        self.setUp()
        self.serve(self.rollouts, per_s, 0, 29)
        self.assertEqual(
          self.list_due_states(29.0), [rollouts.RolloutState.DONE]
        )

  def test_version_without_proof_is_not_done_by_time_alone(self):
    self.serve(self.rollouts, 5, 0, 10)
    self.assertEqual(self.list_due_states(29.0), [])

  def test_version_that_serves_nothing_is_rolled_back_in_the_end(self):
    old = rollouts.VersionCounts("s", "v1", "r", GOOD)
    for now in (20.0, 40.0, 59.0, 60.0):
      self.rollouts.add_peer_counts(old, False, now)
      self.rollouts.advance(now)
    self.assertEqual(
      self.list_due_states(60.0), [rollouts.RolloutState.ROLLED_BACK]
    )

  def test_bad_version_that_was_done_without_requests_is_stopped(self):
    self.assertEqual(self.list_due_states(29.0), [rollouts.RolloutState.DONE])
    self.rollouts.set_record(
      rollouts.RolloutRecord("s", "v2", rollouts.RolloutState.DONE, 9)
    )
    for number in range(12):
      outcome = sending.Outcome.FAILED if number % 2 else sending.Outcome.SERVED
      response = model.UpstreamResponse(500, (), b"")
      attempt = attrs.evolve(
        make_attempt(NEW, outcome, 40.0), response=response
      )
      self.rollouts.record_attempt(attempt, "r", 40.01)
    self.assertEqual(self.rollouts.filter_upstreams("s", [NEW], True, 41.0), [])
    started = rollouts.Rollouts()
    started.set_order(ORDER, 1.0)
    started.set_record(
      rollouts.RolloutRecord("s", "v2", rollouts.RolloutState.DONE, 9)
    )
    for status in self.rollouts.list_statuses(41.0):
      started.merge_status(status, 2.0)
    self.assertEqual(started.filter_upstreams("s", [NEW], True, 3.0), [])

  def test_version_on_probation_stays_in_use_while_its_upstreams_crash(self):
    self.rollouts.set_record(
      rollouts.RolloutRecord("s", "v2", rollouts.RolloutState.DONE, 9)
    )
    for _ in range(20):
      attempt = make_attempt(NEW, sending.Outcome.UNKNOWN, 40.0)
      self.rollouts.record_attempt(attempt, "r", 40.01)
    self.assertEqual(
      self.rollouts.filter_upstreams("s", [NEW], True, 41.0), [NEW]
    )

  def test_version_that_fails_its_only_requests_is_rolled_back_in_time(self):
    for now in range(30):
      self.rollouts.advance(float(now))
      if now in (12, 25):
        counts = evidence.ExchangeCounts(failed=1)
        version_counts = rollouts.VersionCounts("s", "v2", f"r{now}", counts)
        self.rollouts.add_peer_counts(version_counts, False, float(now))
    self.assertEqual(
      self.list_due_states(29.0), [rollouts.RolloutState.ROLLED_BACK]
    )

  def test_started_node_does_not_take_a_busy_service_for_idle(self):
    started = rollouts.Rollouts()
    started.set_order(ORDER, 20.0)
    for status in self.rollouts.list_statuses(20.4):
      started.merge_status(status, 20.4)
    self.assertEqual(
      [record.state for record in started.list_due_records(0, 29.0)],
      [rollouts.RolloutState.RUNNING],
    )

  def test_started_node_does_not_roll_back_an_idle_service(self):
    started = rollouts.Rollouts()
    started.set_order(ORDER, 20.0)
    started.merge_status(self.rollouts.list_statuses(20.4)[0], 20.4)
    started.advance(61.0)
    self.assertIs(started.get_state("s"), rollouts.RolloutState.RUNNING)

  def test_rollout_that_is_done_collects_no_counts(self):
    self.rollouts.set_record(
      rollouts.RolloutRecord("s", "v2", rollouts.RolloutState.DONE, 9)
    )
    for _ in range(3):
      self.rollouts.record_attempt(
        make_attempt(OLD, sending.Outcome.SERVED, 40.0), "r", 40.01
      )
    self.assertEqual(self.rollouts.pop_unsent_counts(), [])


class StatusTest(unittest.TestCase):
  """Nodes agree on where a rollout stands."""

  def setUp(self):
    self.first = rollouts.Rollouts()
    self.first.set_order(ORDER, 100.0)

  def tell(self, receiver: rollouts.Rollouts, sent: float, heard: float):
    for status in self.first.list_statuses(sent):
      receiver.merge_status(status, heard)

  def get_shares(self, all_rollouts: rollouts.Rollouts, now: float):
    return [
      all_rollouts.filter_upstreams("s", [OLD, NEW], True, now)[
        0
      ].instance.version
      for _ in range(40)
    ]

  def test_started_node_shifts_with_the_others(self):
    started = rollouts.Rollouts()
    started.set_order(ORDER, 15.0)  # its clock has another origin
    self.assertEqual(self.get_shares(started, 16.6).count("v2"), 2)
    self.tell(started, 126.2, 16.2)
    self.assertEqual(self.get_shares(self.first, 126.6).count("v2"), 40)
    self.assertEqual(self.get_shares(started, 16.6).count("v2"), 40)

  def test_status_that_arrives_before_the_order_counts(self):
    started = rollouts.Rollouts()
    self.tell(started, 126.2, 16.2)
    started.set_order(ORDER, 16.3)
    self.assertEqual(self.get_shares(started, 16.6).count("v2"), 40)

  def test_started_node_learns_of_a_regression(self):
    for version, counts in (("v1", GOOD), ("v2", FAILED)):
      self.first.add_peer_counts(
        rollouts.VersionCounts("s", version, "r", counts), False, 105.0
      )
    started = rollouts.Rollouts()
    started.set_order(ORDER, 15.0)
    self.tell(started, 106.0, 15.5)
    self.assertIs(started.get_state("s"), rollouts.RolloutState.ROLLED_BACK)

  def test_status_of_another_order_is_ignored(self):
    other = rollouts.Rollouts()
    other.set_order(attrs.evolve(ORDER, revision=6), 15.0)
    self.tell(other, 126.2, 16.2)
    self.assertEqual(self.get_shares(other, 16.6).count("v2"), 2)

  def test_younger_status_does_not_delay_a_rollout(self):
    started = rollouts.Rollouts()
    started.set_order(ORDER, 0.0)
    self.tell(started, 101.0, 26.5)
    self.assertEqual(self.get_shares(started, 26.6).count("v2"), 40)

  def test_recorded_rollout_is_not_told(self):
    self.first.set_record(
      rollouts.RolloutRecord("s", "v2", rollouts.RolloutState.DONE, 9)
    )
    self.assertEqual(self.first.list_statuses(130.0), ())


class RolloutFleetTest(unittest.TestCase):
  """Two nodes that carry out an order of 8 s on the stand-in platform."""

  DURATION_S = 8.0

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.old = self.site.add_upstream(sites.Upstream("i-old", "shop", b"old"))
    self.new = sites.Upstream("i-new", "shop", b"new")
    route = sites.make_route("shop", service="shop")
    self.site.put("op/config", sites.make_configuration(1, [route]))
    self.first = self.enterContext(gateways.Node(self.site, "n0"))
    self.first.wait_ready()
    seeds = (f"127.0.0.1:{self.first.peer_port}",)
    self.second = self.enterContext(gateways.Node(self.site, "n1", seeds=seeds))
    self.second.wait_ready()

  def start_rollout(self) -> None:
    """Writes the order, adds the new upstream, waits until nodes know it."""
    order = {
      "service": "shop",
      "targetVersion": "v2",
      "durationS": self.DURATION_S,
    }
    self.site.put("op/rollout/shop", order)
    self.site.add_upstream(self.new, version="v2")
    for node in (self.first, self.second):
      node.wait_for_upstreams(self.new)
    self.ordered_at = time.monotonic()

  def read_state(self) -> str:
    value = self.site.get("status/rollout/shop")
    return json.loads(value)["state"] if value else ""

  def send_until(self, state: str, limit_s: float) -> float:
    """Sends requests to both nodes until the rollout has a state.

    Args:
      state: The state, as written in the store.
      limit_s: Time in which the state must be reached.

    Returns:
      Seconds since the order.
    """
    while self.read_state() != state:
      self.assertLess(time.monotonic() - self.ordered_at, limit_s)
      for node in (self.first, self.second):
        node.send("/shop/x")
    return time.monotonic() - self.ordered_at

  def test_good_version_gets_all_requests_within_duration(self):
    self.start_rollout()
    took_s = self.send_until("succeeded", self.DURATION_S)
    self.assertGreater(took_s, self.DURATION_S / 2)
    gateways.wait_until(
      lambda: self.second.read_events("version_moved")[-1]["state"] == "done",
      "the other node has the final state",
    )
    self.site.stop_upstream(self.old)
    for node in (self.first, self.second):
      self.assertEqual(node.send("/shop/x").body, b"new")

  def test_failing_version_is_rolled_back_and_gets_no_more_requests(self):
    self.new.behaviour = "fail"
    self.start_rollout()
    self.send_until("rolled_back", self.DURATION_S)
    time.sleep(1.0)
    new_arrivals = len(self.new.received_requests)
    total = new_arrivals + len(self.old.received_requests)
    self.assertLess(new_arrivals, 0.1 * total + 5)
    replies = [
      node.send("/shop/x")
      for _ in range(100)
      for node in (self.first, self.second)
    ]
    self.assertEqual({reply.body for reply in replies}, {b"old"})
    self.assertEqual(len(self.new.received_requests), new_arrivals)


if __name__ == "__main__":
  unittest.main()
