"""What contact a node has with the platform and its peers."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.peers import membership
from bronzefold.peers import messages
from bronzefold.peers.membership import StoreContact

LIMIT_S = 2.5


def make_member(name: str) -> membership.Member:
  """Makes a serving node."""
  return membership.Member(name, "a", "serving", f"{name}:1", f"{name}:2")


def make_members(count: int) -> membership.Membership:
  """Makes the view of n0 of a fleet."""
  members = membership.Membership(make_member("n0"), LIMIT_S)
  for number in range(1, count):
    members.register(make_member(f"n{number}"))
  return members


def hear(
  members: membership.Membership,
  number: int,
  echo: float | None,
  platform_age_s: float | None = None,
  revision: int = 1,
) -> None:
  """Delivers a heartbeat to a node that has applied revision 1."""
  name = f"n{number}"
  heartbeat = messages.Heartbeat(
    name, "a", "serving", "c", "p", platform_age_s, revision, 0, 5.0, echo
  )
  members.record_heartbeat(heartbeat, 1)


class ContactTest(unittest.TestCase):
  """Contact at given times."""

  def test_own_call_makes_current_from_its_start(self):
    members = make_members(3)
    members.record_store_contact(10.0)
    self.assertIs(members.assess_contact(12.0), StoreContact.CURRENT)
    self.assertIs(members.assess_contact(12.6), StoreContact.ISOLATED)

  def test_peer_with_the_platform_makes_current(self):
    members = make_members(3)
    hear(members, 1, echo=10.0, platform_age_s=0.5)
    self.assertIs(members.assess_contact(11.9), StoreContact.CURRENT)
    self.assertIsNot(members.assess_contact(12.1), StoreContact.CURRENT)

  def test_peer_with_newer_changes_does_not_make_current(self):
    members = make_members(3)
    hear(members, 1, echo=10.0, platform_age_s=0.0, revision=2)
    self.assertIsNot(members.assess_contact(10.1), StoreContact.CURRENT)

  def test_heartbeat_from_a_buffer_does_not_make_current(self):
    members = make_members(3)
    # Sent at 10.1, read by this node after a pause, at 30.
    hear(members, 1, echo=10.0, platform_age_s=0.0)
    hear(members, 2, echo=10.0, platform_age_s=0.0)
    self.assertFalse(members.is_alive("n1", 30.0))
    self.assertIs(members.assess_contact(30.0), StoreContact.ISOLATED)

  def test_outage_seen_by_all_most_or_few(self):
    members = make_members(5)
    members.record_store_contact(1.0)
    for number, seen in (
      (1, StoreContact.ISOLATED),
      (2, StoreContact.OUTAGE_SEEN_BY_MOST),
      (3, StoreContact.OUTAGE_SEEN_BY_MOST),
      (4, StoreContact.OUTAGE_SEEN_BY_ALL),
    ):
      hear(members, number, echo=20.0)
      self.assertIs(members.assess_contact(20.5), seen, number)

  def test_halves_of_a_fleet_are_both_isolated(self):
    members = make_members(4)
    hear(members, 1, echo=20.0)
    self.assertIs(members.assess_contact(20.5), StoreContact.ISOLATED)

  def test_node_alone_goes_on(self):
    members = make_members(1)
    members.record_store_contact(1.0)
    self.assertIs(members.assess_contact(99.0), StoreContact.OUTAGE_SEEN_BY_ALL)

  @given(count=strategies.integers(17, 700))
  @settings(derandomize=True, deadline=None, max_examples=30)
  def test_news_reaches_every_node_of_a_large_fleet(self, count):
    names = [f"n{number:03d}" for number in range(count)]
    links = {}
    for name in names[:: max(1, count // 40)]:
      members = membership.Membership(make_member(name), LIMIT_S)
      for other in names:
        if other != name:
          members.register(make_member(other))
      links[name] = {m.node for m in members.list_neighbours()}
      self.assertNotIn(name, links[name])
      self.assertLessEqual(len(links[name]), 20)
    first = names.index(next(iter(links)))
    offsets = {names.index(n) - first for n in links[names[first]]}
    reached, steps = {0}, 0
    while len(reached) < count:
      reached |= {(r + o) % count for r in reached for o in offsets}
      steps += 1
      self.assertLessEqual(steps, 10)


if __name__ == "__main__":
  unittest.main()
