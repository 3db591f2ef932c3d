"""Tokens of rate limits, shared by nodes that start, die or are cut off."""

import heapq
import itertools
import random
import unittest

from bronzefold.gateway import inventory
from bronzefold.gateway import model
from bronzefold.gateway import ratelimits
from bronzefold.gateway import registration
from bronzefold.gateway import tokens
from bronzefold.gateway import topology
from bronzefold.peers import membership

LIMIT_PER_S = 6.0
WINDOW_S = 4.0
# The users' limit on the requests in a window.
MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
LINK_DELAY_S = 0.001
RECHECK_DELAY_S = 0.004  # requests wait for tokens for up to 10 ms
MAX_RECHECKS = 2
HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.3
# How long a dead node stays registered.
REGISTERED_S = registration.MIN_SILENCE_S


class Node:
  """A node without processes and sockets, in simulated time."""

  def __init__(self, fleet, name, capacity=1.0):
    self.name = name
    self.fleet = fleet
    self.is_running = True
    self.is_cut_off = False
    member = membership.Member(
      name, "a", membership.SERVING, name, name, capacity
    )
    self.members = membership.Membership(member, 2.0, HEARTBEAT_TIMEOUT_S)
    self.topology = topology.Topology(is_hub=True, neighbours=())
    self.upstreams = inventory.Inventory(lambda _: 3)
    self.upstreams.register(model.Instance("up", "s", "h:1", "a"), 0.0)
    self.upstream = self.upstreams.find("up")
    self.exchange = tokens.TokenExchange(
      self.members, self, self.upstreams, lambda: self.topology
    )

  def send(self, receiver, message):
    """Sends a message, as ``PeerNetwork`` does."""
    self.fleet.send(self.name, receiver, message)

  def handle(self, sender, message, now):
    """Handles a message, as ``FleetCoordinator`` does."""
    if isinstance(message, int):
      self.try_send(now, message)
    elif isinstance(message, tokens.messages.Heartbeat):
      self.members.record_heartbeat(message, 0)
    elif isinstance(message, tokens.messages.RateLimitNotice):
      self.exchange.handle_notice(message, now)
    elif isinstance(message, tokens.messages.TokenRequest):
      self.exchange.handle_request(sender, message, now)
    else:
      self.exchange.handle_grant(message, now)

  def send_heartbeats(self, now):
    """Plans the topology and sends heartbeats to the neighbours."""
    self.topology = topology.plan_topology(
      self.members.own_member, self.members.list_others()
    )
    for member in self.topology.neighbours:
      heartbeat = self.members.make_heartbeat(member.node, 0.0, 0, 0, now)
      self.send(member.node, heartbeat)

  def try_send(self, now, rechecks=0):
    """Sends a request to the upstream once its rate limit permits it."""
    limit = self.upstream.rate_limit
    if limit is not None:
      if not limit.has_token(now):
        self.exchange.request_tokens(self.upstream, now)
      if not limit.has_token(now):
        if rechecks < MAX_RECHECKS:
          self.fleet.recheck_later(self.name, rechecks + 1)
        return
      limit.spend(now)
    self.fleet.sent_at.append(now)
    announcement = ratelimits.Announcement(LIMIT_PER_S, now)
    if self.upstreams.apply_announcement(self.upstream, announcement):
      self.exchange.announce(self.upstream, now)


class Fleet:
  """Nodes with a common registry, and the messages between them.

  Attributes:
    nodes: All nodes that ever started, by name.
    sent_at: Times of the requests to the upstream.
  """

  def __init__(self, capacities):
    self.nodes = {}
    self.sent_at = []
    self._messages = []
    self._numbers = itertools.count()
    self._lapses_at = {}
    self._now = 0.0
    for number, capacity in enumerate(capacities):
      self.start(f"n{number:02}", capacity)

  def start(self, name, capacity=1.0):
    """Starts a node, or starts it again, and registers it."""
    self._lapses_at.pop(name, None)
    self.nodes[name] = Node(self, name, capacity)
    for one, other in itertools.permutations(self.nodes.values(), 2):
      one.members.register(other.members.own_member)

  def kill(self, name):
    """Kills a node; its registration lapses later."""
    self.nodes[name].is_running = False
    self._lapses_at[name] = self._now + REGISTERED_S

  def send(self, sender, receiver, message):
    """Delivers a message, unless one of the nodes is cut off."""
    nodes = (self.nodes[sender], self.nodes[receiver])
    if not any(node.is_cut_off for node in nodes):
      self._push(LINK_DELAY_S, sender, receiver, message)

  def recheck_later(self, name, rechecks):
    """Lets a node check again whether it has a token for a request."""
    self._push(RECHECK_DELAY_S, name, name, rechecks)

  def _push(self, delay_s, sender, receiver, message):
    entry = (self._now + delay_s, next(self._numbers))
    heapq.heappush(self._messages, (*entry, sender, receiver, message))

  def run(self, until, requests_per_s, chosen=None):
    """Runs the fleet with random requests.

    Args:
      until: Time at which to stop.
      requests_per_s: Requests that each running node tries to send.
      chosen: Names of the nodes that get requests; None for all.
    """
    step_s = 0.002
    while self._now < until:
      self._now += step_s
      while self._messages and self._messages[0][0] <= self._now:
        _, _, sender, receiver, message = heapq.heappop(self._messages)
        if self.nodes[receiver].is_running:
          self.nodes[receiver].handle(sender, message, self._now)
      running = [node for node in self.nodes.values() if node.is_running]
      if self._now % HEARTBEAT_PERIOD_S < step_s:
        self._expire_registrations()
        for node in running:
          node.send_heartbeats(self._now)
      for node in running:
        is_chosen = chosen is None or node.name in chosen
        if is_chosen and random.random() < requests_per_s * step_s:
          node.try_send(self._now)

  def count_most_in_window(self, since):
    """Returns the most requests in any window that starts at or after."""
    times = [at for at in self.sent_at if at >= since]
    return max(
      sum(start <= at < start + WINDOW_S for at in times) for start in times
    )

  def _expire_registrations(self):
    for name, lapses_at in list(self._lapses_at.items()):
      if self._now >= lapses_at:
        del self._lapses_at[name]
        for node in self.nodes.values():
          node.members.unregister(name)


class SharingTest(unittest.TestCase):
  """Requests of all nodes to one upstream with a rate limit."""

  def check(self, fleet, least=0.0):
    """Checks the bound in all windows, and the use of the limit.

    Args:
      fleet: The fleet.
      least: Share of the limit that must be used from the first second on.
    """
    self.assertLessEqual(fleet.count_most_in_window(0.5), MOST_IN_WINDOW)
    used = sum(at >= 1.0 for at in fleet.sent_at)
    duration_s = max(fleet.sent_at) - 1.0
    self.assertGreater(used, least * LIMIT_PER_S * duration_s)

  def setUp(self):
    random.seed(5)

  def test_equal_demand_uses_the_limit(self):
    fleet = Fleet([1.0] * 8)
    fleet.run(12.0, requests_per_s=5.0)
    self.check(fleet, least=0.85)

  def test_one_busy_node_uses_the_limit(self):
    fleet = Fleet([1.0] * 8)
    fleet.run(12.0, requests_per_s=20.0, chosen={"n03"})
    self.check(fleet, least=0.85)

  def test_idle_nodes_of_a_large_fleet_save_no_burst(self):
    fleet = Fleet([2.0] * 8 + [0.5] * 56)
    fleet.run(5.0, requests_per_s=0.1)
    fleet.run(10.0, requests_per_s=5.0)
    self.check(fleet, least=0.3)

  def test_spokes_of_a_large_fleet_use_the_limit(self):
    fleet = Fleet([2.0] * 4 + [0.5] * 20)
    fleet.run(10.0, requests_per_s=4.0, chosen={"n10", "n11", "n12"})
    self.check(fleet, least=0.5)

  def test_limit_holds_while_nodes_die_and_start_again(self):
    for seed in range(6):
      with self.subTest(seed=seed):
        random.seed(seed)
        fleet = Fleet([1.0] * 8)
        for second in range(2, 20):
          fleet.run(second, requests_per_s=6.0)
          name = random.choice(sorted(fleet.nodes))
          if fleet.nodes[name].is_running:
            fleet.kill(name)
          else:
            fleet.start(name)
        self.check(fleet, least=0.3)

  def test_limit_holds_while_nodes_freeze_or_are_cut_off(self):
    for seed, attribute in itertools.product(
      range(4), ("is_running", "is_cut_off")
    ):
      with self.subTest(seed=seed, attribute=attribute):
        random.seed(seed)
        fleet = Fleet([1.0] * 8)
        for second in range(2, 20):
          fleet.run(second, requests_per_s=6.0)
          node = random.choice(list(fleet.nodes.values()))
          setattr(node, attribute, not getattr(node, attribute))
        self.check(fleet)


class RateLimitTest(unittest.TestCase):
  """This node's tokens for one upstream."""

  def setUp(self):
    self.limit = ratelimits.RateLimit(4.0)

  def test_request_is_not_repeated_while_pending_or_denied(self):
    self.assertTrue(self.limit.may_request(1.0))
    self.assertEqual(self.limit.start_request(1.0), 1)
    self.assertFalse(self.limit.may_request(1.01))
    self.limit.record_grant(0, 0.2, requested_at=1.0, now=1.01)
    self.assertFalse(self.limit.may_request(1.2))
    self.assertAlmostEqual(self.limit.get_wait(1.11), 0.1)
    self.assertTrue(self.limit.may_request(1.3))

  def test_lost_request_is_repeated(self):
    self.limit.start_request(1.0)
    self.assertTrue(self.limit.may_request(1.0 + ratelimits.REQUEST_TIMEOUT_S))

  def test_token_expires_from_the_time_of_its_request(self):
    self.limit.record_grant(1, 0.0, requested_at=1.0, now=1.4)
    self.assertTrue(self.limit.has_token(1.45))
    self.assertFalse(self.limit.has_token(1.5))

  def test_release_gives_no_more_tokens_than_there_are(self):
    self.limit.record_grant(2, 0.0, requested_at=1.0, now=1.0)
    self.assertEqual(self.limit.release(5, 1.1), 2)
    self.assertEqual(self.limit.release(5, 1.1), 0)

  def test_busy_node_requests_tokens_in_advance(self):
    self.limit.record_grant(3, 0.0, requested_at=1.0, now=1.0)
    for _ in range(3):
      self.limit.spend(1.1)
    self.assertEqual(self.limit.start_request(1.2), 4)

  def test_limit_of_zero_leaves_a_probe(self):
    limit = ratelimits.RateLimit(0.0)
    limit.allocate(1, 1.0, 0.0)
    taken = sum(limit.allocate(1, 1.0, t)[0] for t in range(1, 41))
    self.assertGreater(taken, 0)
    self.assertLess(taken, 15)


class AnnouncementTest(unittest.TestCase):
  """What an upstream announces, as responses and peers report it."""

  def setUp(self):
    self.upstreams = inventory.Inventory(lambda _: 3)
    self.upstreams.register(model.Instance("up", "s", "h:1", "a"), 0.0)
    self.upstream = self.upstreams.find("up")

  def apply(self, limit_per_s, observed_at):
    announcement = ratelimits.Announcement(limit_per_s, observed_at)
    return self.upstreams.apply_announcement(self.upstream, announcement)

  def test_newest_observation_wins(self):
    self.assertTrue(self.apply(4.0, 2.0))
    self.assertFalse(self.apply(None, 1.0))
    self.assertEqual(self.upstream.rate_limit.limit_per_s, 4.0)
    self.assertTrue(self.apply(None, 3.0))
    self.assertIsNone(self.upstream.rate_limit)
    self.assertFalse(self.upstreams.limited_ids)

  def test_changed_limit_keeps_tokens(self):
    self.apply(4.0, 2.0)
    self.upstream.rate_limit.record_grant(1, 0.0, 2.0, 2.0)
    self.assertTrue(self.apply(5.0, 2.1))
    self.assertTrue(self.upstream.rate_limit.has_token(2.2))

  def test_restarted_upstream_has_no_limit(self):
    self.apply(4.0, 2.0)
    instance = model.Instance("up", "s", "h:1", "a", born_ms=7)
    self.upstreams.register(instance, 3.0)
    restarted = model.Instance("up", "s", "h:1", "a", born_ms=8)
    self.upstreams.register(restarted, 4.0)
    self.assertIsNone(self.upstreams.find("up").rate_limit)


if __name__ == "__main__":
  unittest.main()
