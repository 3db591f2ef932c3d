"""Moves of a service to another version, as the operators order them."""

import json
import time
import unittest

from bronzefold.core import evidence
from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import rollouts
from bronzefold.gateway import sending
from tests import gateways
from tests.standins import site as sites

ORDER = rollouts.RolloutOrder("s", "v2", 30.0, 7)
FAILED = evidence.Counts(failed=6)
GOOD = evidence.Counts(good=300)


def make_upstream(name: str, version: str) -> inventory.Upstream:
  """Makes an upstream without connections."""
  instance = model.Instance(name, "s", "h:1", "a", version)
  return inventory.Upstream(instance, pool=None)


OLD = make_upstream("o", "v1")
NEW = make_upstream("n", "v2")


def make_attempt(
  upstream: inventory.Upstream,
  ending: sending.Outcome,
  started_at: float = 0.0,
  is_abandoned: bool = False,
) -> sending.Attempt:
  """Makes an attempt that has ended."""
  return sending.Attempt(
    upstream, "s", started_at, outcome=ending, is_abandoned=is_abandoned
  )


class MoveTest(unittest.TestCase):
  """Decisions at given times; the order is learned at 0 s."""

  def setUp(self):
    self.moves = rollouts.Rollouts()
    self.moves.set_order(ORDER, 0.0)

  def choose(self, now: float, count: int = 1000) -> dict[str, int]:
    versions = [
      self.moves.filter_upstreams("s", [OLD, NEW], True, now)[
        0
      ].instance.version
      for _ in range(count)
    ]
    return {name: versions.count(name) for name in ("v1", "v2")}

  def observe(self, *told: tuple[str, evidence.Counts]) -> None:
    for version, counts in told:
      seen = rollouts.Observation("s", version, "r", counts)
      self.moves.add_observation(seen, False, 5.0)

  def write(self, state: rollouts.RolloutState, revision: int) -> None:
    self.moves.set_record(rollouts.RolloutRecord("s", "v2", state, revision))

  def list_states(self, rank: int, now: float) -> list[rollouts.RolloutState]:
    return [record.state for record in self.moves.list_due_records(rank, now)]

  def test_without_an_order_versions_are_alike(self):
    found = rollouts.Rollouts().filter_upstreams("s", [OLD, NEW], True, 0.0)
    self.assertEqual(found, [OLD, NEW])

  def test_small_share_until_shortly_before_the_end(self):
    self.assertEqual(self.choose(20.0), {"v1": 950, "v2": 50})
    self.assertEqual(self.choose(26.5), {"v1": 0, "v2": 1000})

  def test_second_attempts_go_to_the_proven_version(self):
    found = self.moves.filter_upstreams("s", [OLD, NEW], False, 27.0)
    self.assertEqual(found, [OLD])

  def test_version_that_fails_is_taken_back_for_good(self):
    self.observe(("v1", GOOD), ("v2", FAILED))
    self.assertEqual(self.choose(29.0), {"v1": 1000, "v2": 0})
    self.assertEqual(self.moves.filter_upstreams("s", [NEW], True, 29.0), [])
    self.assertEqual(
      self.list_states(0, 29.0), [rollouts.RolloutState.ROLLED_BACK]
    )
    self.write(rollouts.RolloutState.ROLLED_BACK, 9)
    self.assertEqual(self.list_states(0, 40.0), [])
    self.assertEqual(self.choose(40.0)["v2"], 0)

  def test_version_that_slows_down_is_taken_back(self):
    for number in range(200):
      started_at = number / 100
      served = make_attempt(OLD, sending.Outcome.SERVED, started_at)
      self.moves.record_attempt(served, "r", started_at + 0.02)
    for _ in range(2):
      slow = make_attempt(NEW, sending.Outcome.SERVED, 5.0)
      self.moves.record_attempt(slow, "r", 5.1)
      left = make_attempt(NEW, sending.Outcome.UNKNOWN, 5.0, is_abandoned=True)
      self.moves.record_attempt(left, "r", 5.1)
    self.assertEqual(
      self.moves.get_state("s"), rollouts.RolloutState.ROLLED_BACK
    )

  def test_refusals_and_quick_hedges_tell_nothing(self):
    self.observe(("v1", GOOD))
    for _ in range(50):
      refused = make_attempt(NEW, sending.Outcome.NOT_RUN)
      self.moves.record_attempt(refused, "r", 0.01)
      left = make_attempt(NEW, sending.Outcome.UNKNOWN, is_abandoned=True)
      self.moves.record_attempt(left, "r", 0.01)
    self.assertEqual(self.moves.get_state("s"), rollouts.RolloutState.RUNNING)

  def test_versions_that_fail_alike_go_on(self):
    self.observe(("v1", FAILED), ("v2", FAILED))
    self.assertEqual(self.moves.get_state("s"), rollouts.RolloutState.RUNNING)

  def test_states_are_written_in_time_by_one_node_after_the_other(self):
    states = rollouts.RolloutState
    self.assertEqual(self.list_states(0, 0.0), [states.RUNNING])
    self.assertEqual(self.list_states(2, 0.5), [])
    self.write(states.RUNNING, 8)
    self.assertEqual(self.list_states(0, 20.0), [])
    self.assertEqual(self.list_states(0, 27.7), [states.DONE])
    self.assertEqual(self.list_states(1, 27.7), [])
    self.assertEqual(self.list_states(1, 28.5), [states.DONE])
    self.assertEqual(self.moves.list_due_records(0, 27.7)[0].revision, 8)
    self.write(states.DONE, 10)
    self.assertEqual(self.list_states(1, 28.5), [])
    self.assertEqual(self.choose(29.0)["v1"], 0)

  def test_record_of_an_earlier_order_does_not_count(self):
    self.write(rollouts.RolloutState.DONE, 5)
    self.assertEqual(self.moves.get_state("s"), rollouts.RolloutState.RUNNING)
    (record,) = self.moves.list_due_records(0, 0.0)
    self.assertEqual(record.revision, 5)

  def test_record_that_vanished_is_written_anew(self):
    self.write(rollouts.RolloutState.RUNNING, 8)
    self.assertTrue(self.moves.remove_record("s"))
    (record,) = self.moves.list_due_records(0, 1.0)
    self.assertEqual(record.revision, 0)

  def test_version_that_is_done_is_not_suspected(self):
    self.write(rollouts.RolloutState.DONE, 8)
    with self.assertNoLogs("bronzefold.gateway.rollouts", "WARNING"):
      self.observe(("v1", GOOD), ("v2", FAILED))
    self.assertEqual(self.moves.get_state("s"), rollouts.RolloutState.DONE)

  def test_observations_of_others_are_passed_on_by_hubs_only(self):
    told = rollouts.Observation("s", "v2", "r", evidence.Counts(good=2))
    self.moves.add_observation(told, False, 1.0)
    self.assertEqual(self.moves.pop_unsent(), [])
    self.moves.add_observation(told, True, 1.0)
    self.assertEqual(self.moves.pop_unsent(), [told])

  def test_withdrawn_order_ends_the_move(self):
    self.assertTrue(self.moves.cancel_order("s"))
    self.assertIsNone(self.moves.get_state("s"))

  def test_observations_are_told_once(self):
    served = make_attempt(NEW, sending.Outcome.SERVED)
    self.moves.record_attempt(served, "r", 0.01)
    (told,) = self.moves.pop_unsent()
    self.assertEqual((told.version, told.counts.good), ("v2", 1))
    self.assertEqual(self.moves.pop_unsent(), [])


class SiteTest(unittest.TestCase):
  """Two nodes on the stand-in of the platform."""

  DURATION_S = 8.0

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.old = self.site.add_leaf(sites.Leaf("i-old", "shop", b"old"))
    self.new = sites.Leaf("i-new", "shop", b"new")
    route = sites.make_route("shop", service="shop")
    self.site.put("op/config", sites.make_configuration(1, [route]))
    self.first = self.enterContext(gateways.Node(self.site, "n0"))
    self.first.wait_ready()
    seeds = (f"127.0.0.1:{self.first.peer_port}",)
    self.second = self.enterContext(gateways.Node(self.site, "n1", seeds=seeds))
    self.second.wait_ready()

  def order(self) -> None:
    order = {
      "service": "shop",
      "targetVersion": "v2",
      "durationS": self.DURATION_S,
    }
    self.site.put("op/rollout/shop", order)
    self.site.add_leaf(self.new, version="v2")
    for node in (self.first, self.second):
      node.wait_for_upstreams(self.new)
    self.ordered_at = time.monotonic()

  def read_state(self) -> str:
    value = self.site.get("status/rollout/shop")
    return json.loads(value)["state"] if value else ""

  def load(self, until: str, limit_s: float) -> float:
    """Sends to both nodes until the move has a state; returns the time."""
    while self.read_state() != until:
      self.assertLess(time.monotonic() - self.ordered_at, limit_s)
      for node in (self.first, self.second):
        node.send("/shop/x")
    return time.monotonic() - self.ordered_at

  def test_good_version_gets_all_by_its_time(self):
    self.order()
    took_s = self.load("succeeded", self.DURATION_S)
    self.assertGreater(took_s, self.DURATION_S / 2)
    gateways.wait_until(
      lambda: self.second.read_events("version_moved")[-1]["state"] == "done",
      "the other node knows",
    )
    self.site.stop_leaf(self.old)
    for node in (self.first, self.second):
      self.assertEqual(node.send("/shop/x").body, b"new")

  def test_bad_version_is_taken_back_and_gets_nothing_more(self):
    self.new.behaviour = "fail"
    self.order()
    self.load("rolled_back", self.DURATION_S)
    time.sleep(1.0)
    carried = len(self.new.arrivals)
    total = carried + len(self.old.arrivals)
    self.assertLess(carried, 0.1 * total + 5)
    replies = [
      node.send("/shop/x")
      for _ in range(100)
      for node in (self.first, self.second)
    ]
    self.assertEqual({reply.body for reply in replies}, {b"old"})
    self.assertEqual(len(self.new.arrivals), carried)


if __name__ == "__main__":
  unittest.main()
