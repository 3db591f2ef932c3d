"""Requests that wait for a connection while one replica of a shard is left."""

import itertools
import operator
import random
import unittest

from bronzefold.gateway import queueing

OBJECTIVE_S = 0.1
WORK_S = 0.01


class Demand:
  """A request that waits, and when it was served."""

  def __init__(
    self, priority=1, since=0.0, is_optional=False, upstream_ids=("a",)
  ):
    self.served_at = None
    self.may_send = True
    self.is_optional = is_optional
    self.waiter = queueing.Waiter(
      service="s",
      upstream_ids=frozenset(upstream_ids),
      priority=priority,
      is_optional=lambda: self.is_optional,
      latency_objective_s=OBJECTIVE_S,
      latest_start_at=since + OBJECTIVE_S - WORK_S,
      since=since,
      accept=self.accept,
    )

  def accept(self, now):
    if self.may_send:
      self.served_at = now
    return self.may_send


class OrderTest(unittest.TestCase):
  """Which of the waiting requests gets a connection."""

  def setUp(self):
    self.queues = queueing.SlotQueues()

  def add(self, **properties):
    demand = Demand(**properties)
    self.queues.add(demand.waiter)
    return demand

  def test_more_urgent_priority_first(self):
    plain, urgent = self.add(priority=2), self.add(priority=1)
    self.queues.offer("s", "a", 0.01)
    self.assertEqual((plain.served_at, urgent.served_at), (None, 0.01))

  def test_needed_shard_before_one_that_can_be_left_out(self):
    optional = self.add(priority=0, is_optional=True)
    needed = self.add(priority=2)
    self.queues.offer("s", "a", 0.01)
    self.assertEqual((optional.served_at, needed.served_at), (None, 0.01))

  def test_request_that_can_be_in_time_before_a_late_one(self):
    late = self.add(since=-0.15)
    timely = self.add(since=0.0)
    self.queues.offer("s", "a", 0.01)
    self.assertEqual((late.served_at, timely.served_at), (None, 0.01))

  def test_new_request_does_not_overtake_equal_ones(self):
    self.add()
    newer = Demand(since=0.02)
    self.assertTrue(self.queues.must_wait(newer.waiter, "a", 0.02))
    more_urgent = Demand(priority=0, since=0.02)
    self.assertFalse(self.queues.must_wait(more_urgent.waiter, "a", 0.02))

  def test_request_that_waits_for_another_upstream_holds_up_nobody(self):
    """Retries that wait for the other replica leave this one to new ones."""
    retries = [self.add(upstream_ids=("b",)) for _ in range(6)]
    newer = self.add(since=0.02, upstream_ids=("a", "b"))
    newest = Demand(since=0.03, upstream_ids=("a", "b"))
    self.queues.offer("s", "a", 0.03)
    self.assertEqual(newer.served_at, 0.03)
    self.assertEqual({demand.served_at for demand in retries}, {None})
    self.assertFalse(self.queues.must_wait(newest.waiter, "a", 0.03))
    self.assertTrue(self.queues.must_wait(newest.waiter, "b", 0.03))

  def test_shard_that_becomes_dispensable_while_it_waits_gives_way(self):
    first, second = self.add(), self.add(since=0.005)
    first.is_optional = True
    self.queues.offer("s", "a", 0.01)
    self.assertEqual((first.served_at, second.served_at), (None, 0.01))

  def test_connection_goes_on_to_the_next_if_one_declines(self):
    first, second = self.add(priority=0), self.add(priority=1)
    first.may_send = False
    self.queues.offer("s", "a", 0.01)
    self.assertEqual(second.served_at, 0.01)
    self.assertEqual(self.queues.count_waiting(), 1)

  def test_discarded_request_gets_nothing(self):
    demand = self.add()
    self.queues.discard(demand.waiter)
    self.queues.discard(demand.waiter)
    self.queues.offer("s", "a", 0.01)
    self.assertIsNone(demand.served_at)


class OverloadTest(unittest.TestCase):
  """Two kinds of request at 1.5 times what one connection serves."""

  def play(self, rank):
    """Plays 10 s of load; returns the share in time, by priority."""
    source = random.Random(5)
    arrivals = []
    now = 0.0
    while now < 10.0:
      now += source.expovariate(1.5 / WORK_S)
      arrivals.append(Demand(priority=source.choice((1, 2, 2)), since=now))
    waiting = []
    free_at = 0.0
    pending = iter(arrivals)
    upcoming = next(pending)
    while upcoming is not None:
      while upcoming is not None and upcoming.waiter.since <= free_at:
        waiting.append(upcoming)
        upcoming = next(pending, None)
      if waiting:
        chosen = min(waiting, key=lambda demand: rank(demand.waiter, free_at))
        waiting.remove(chosen)
        chosen.served_at = free_at = free_at + WORK_S
      elif upcoming is not None:
        free_at = upcoming.waiter.since
    get_priority = operator.attrgetter("waiter.priority")
    return {
      priority: sum(
        demand.served_at is not None
        and demand.served_at <= demand.waiter.latest_start_at + WORK_S
        for demand in group
      )
      / sum(get_priority(demand) == priority for demand in arrivals)
      for priority, group in itertools.groupby(
        sorted(arrivals, key=get_priority), get_priority
      )
    }

  def test_urgent_requests_are_in_time_and_others_not_starved(self):
    in_time = self.play(queueing.compute_rank)
    self.assertGreater(in_time[1], 0.9)
    # The connection serves two thirds; a third of the requests are urgent.
    self.assertGreater(in_time[2], 0.3)

  def test_order_of_arrival_serves_nearly_all_late(self):
    in_time = self.play(lambda waiter, _: waiter.since)
    self.assertLess(in_time[1], 0.3)
    self.assertLess(in_time[2], 0.3)


if __name__ == "__main__":
  unittest.main()
