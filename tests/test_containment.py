"""Requests that are held back until an upstream has responded to them."""

import unittest

from bronzefold.core import containment

CRASHED = {"has_crashed": True, "has_survived": False}
SERVED = {"has_crashed": False, "has_survived": True}
REFUSED = {"has_crashed": False, "has_survived": False}
Caution = containment.Caution


def start(caution=Caution.NONE, shards=20):
  """Starts as many attempts as are allowed, one a shard at most."""
  contained = containment.Containment(caution, shards)
  for _ in range(shards):
    if contained.may_send():
      contained.record_start()
  return contained


class ContainmentTest(unittest.TestCase):
  """Searches over 20 shards, and plain requests."""

  def test_search_goes_to_all_shards_but_is_not_hedged_before_a_response(self):
    contained = start()
    self.assertEqual(contained.started_count, 20)
    self.assertFalse(contained.may_hedge())
    contained.record_end(**SERVED)
    self.assertTrue(contained.may_hedge())

  def test_search_is_not_retried_after_a_crash_until_a_response(self):
    contained = start()
    contained.record_end(**CRASHED)
    self.assertFalse(contained.may_send())
    self.assertFalse(contained.must_give_up)
    contained.record_end(**SERVED)
    self.assertTrue(contained.may_send())

  def test_search_under_which_all_upstreams_crash_gives_up(self):
    contained = start()
    for _ in range(19):
      contained.record_end(**CRASHED)
      self.assertFalse(contained.must_give_up)
    contained.record_end(**CRASHED)
    self.assertTrue(contained.must_give_up)

  def test_plain_request_is_retried_once_after_a_crash(self):
    contained = start(shards=1)
    self.assertTrue(contained.may_hedge())
    contained.record_end(**CRASHED)
    self.assertTrue(contained.may_send())
    contained.record_start()
    contained.record_end(**CRASHED)
    self.assertTrue(contained.must_give_up)

  def test_probe_goes_to_one_upstream_and_to_all_after_its_response(self):
    contained = start(Caution.PROBE)
    self.assertEqual(contained.started_count, 1)
    contained.record_end(**SERVED)
    self.assertTrue(contained.may_send())

  def test_probe_that_ran_nowhere_gives_up(self):
    contained = start(Caution.PROBE)
    contained.record_end(**REFUSED)
    self.assertTrue(contained.must_give_up)

  def test_canaries_are_followed_by_all_after_a_response(self):
    contained = start(Caution.CANARY)
    self.assertEqual(contained.started_count, containment.CANARY_COUNT)
    contained.record_end(**REFUSED)
    self.assertTrue(contained.may_send())
    contained.record_start()
    self.assertFalse(contained.may_send())
    contained.record_end(**SERVED)
    self.assertTrue(contained.may_send())


if __name__ == "__main__":
  unittest.main()
