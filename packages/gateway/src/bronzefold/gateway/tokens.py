"""Exchange of rate limits and tokens between nodes.

One node at a time allocates the tokens of an upstream that announces a rate
limit: rendezvous hashing over the allocators of the topology that are alive.
Spokes get tokens from a hub, which requests them like its own.
"""

from __future__ import annotations

from collections.abc import Callable
import logging

from bronzefold import peers
from bronzefold.core import events
from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory
from bronzefold.gateway import ratelimits
from bronzefold.gateway import topology
from bronzefold.peers import membership
from bronzefold.peers import messages

# An upstream may change its limit with each response; peers learn of its start
# and its end at once.
MIN_NOTICE_PERIOD_S = 0.5
UNKNOWN_UPSTREAM_WAIT_S = 0.1  # about as long as a change takes to a peer

_logger = logging.getLogger(__name__)


class TokenExchange:
  """Requests tokens for this node, and allocates tokens to other nodes."""

  def __init__(
    self,
    members: membership.Membership,
    network: peers.PeerNetwork,
    upstreams: inventory.Inventory,
    get_topology: Callable[[], topology.Topology],
  ) -> None:
    """Creates an exchange.

    Args:
      members: The nodes of the fleet.
      network: Connections to the other nodes.
      upstreams: The inventory of upstreams.
      get_topology: Returns the current topology.
    """
    self._members = members
    self._network = network
    self._upstreams = upstreams
    self._get_topology = get_topology
    self._allocated_ids: set[str] = set()

  def request_tokens(self, upstream: inventory.Upstream, now: Seconds) -> None:
    """Requests tokens unless a request is pending or was just denied.

    On the allocator itself, tokens are there when the method returns.

    Args:
      upstream: An upstream that announces a rate limit.
      now: Monotonic time.
    """
    limit = upstream.rate_limit
    if not limit.may_request(now):
      return
    count = limit.start_request(now)
    allocator, share = self._choose_allocator(upstream, now)
    if allocator == self._members.own_member.node:
      granted, wait_s = self._allocate(upstream, count, share, now)
      limit.record_grant(granted, wait_s, now, now)
      return
    request = messages.TokenRequest(_make_notice(upstream, now), count, now)
    self._network.send(allocator, request)

  def announce(self, upstream: inventory.Upstream, now: Seconds) -> None:
    """Informs the neighbours that an upstream's rate limit has changed."""
    limit = upstream.rate_limit
    if limit is not None:
      if (
        limit.noticed_at is not None
        and now - limit.noticed_at < MIN_NOTICE_PERIOD_S
      ):
        return
      limit.noticed_at = now
    notice = _make_notice(upstream, now)
    for member in self._get_topology().neighbours:
      self._network.send(member.node, notice)

  def handle_notice(
    self, message: messages.RateLimitNotice, now: Seconds
  ) -> None:
    """Applies a notice; a hub with spokes relays it if it was new."""
    upstream = self._apply_notice(message, now)
    if upstream is not None and self._get_topology().spokes:
      self.announce(upstream, now)

  def handle_request(
    self, sender: str, message: messages.TokenRequest, now: Seconds
  ) -> None:
    """Grants tokens to another node as far as there are any."""
    self._apply_notice(message.notice, now)
    upstream = self._upstreams.find(message.notice.upstream)
    if upstream is None:
      notice, count = message.notice, 0
      wait_s = UNKNOWN_UPSTREAM_WAIT_S
    else:
      notice = _make_notice(upstream, now)
      count, wait_s = self._grant(upstream, message.count, now)
    self._network.send(
      sender, messages.TokenGrant(notice, count, wait_s, message.sent_at)
    )

  def handle_grant(self, message: messages.TokenGrant, now: Seconds) -> None:
    """Records tokens that another node granted."""
    self._apply_notice(message.notice, now)
    upstream = self._upstreams.find(message.notice.upstream)
    if upstream is not None and upstream.rate_limit is not None:
      upstream.rate_limit.record_grant(
        message.count, message.wait_s, message.requested_at, now
      )

  def _grant(
    self, upstream: inventory.Upstream, count: int, now: Seconds
  ) -> tuple[int, Seconds]:
    """Returns the tokens for another node, and the time until the next one."""
    limit = upstream.rate_limit
    if limit is None:
      return 0, 0.0
    allocator, share = self._choose_allocator(upstream, now)
    if allocator == self._members.own_member.node:
      return self._allocate(upstream, count, share, now)
    self.request_tokens(upstream, now)
    return limit.release(count, now), limit.get_wait(now)

  def _allocate(
    self, upstream: inventory.Upstream, count: int, share: float, now: Seconds
  ) -> tuple[int, Seconds]:
    if upstream.instance.id not in self._allocated_ids:
      self._allocated_ids.add(upstream.instance.id)
      events.TOKENS_ALLOCATED.log(
        _logger,
        instance=upstream.instance.id,
        limit_per_s=upstream.rate_limit.limit_per_s,
        share=round(share, 3),
      )
    return upstream.rate_limit.allocate(count, share, now)

  def _choose_allocator(
    self, upstream: inventory.Upstream, now: Seconds
  ) -> tuple[str, float]:
    """Chooses the node that allocates an upstream's tokens.

    A node that sees only a part of the hubs alive allocates the same part of
    the limit, so that nodes that are cut off from each other keep to it.

    Args:
      upstream: The upstream.
      now: Monotonic time.

    Returns:
      The name of the node, and the share of the limit that it may allocate.
    """
    current = self._get_topology()
    own_name = self._members.own_member.node
    others = self._members.list_others()
    staying = {m.node for m in others if m.state != membership.LEAVING}
    linked = {member.node for member in current.neighbours}
    serving = {member.node for member in self._members.list_serving(now)}
    known_hubs = (current.hubs & linked & staying) | {own_name}
    alive_hubs = known_hubs & (serving | {own_name})
    if current.is_hub:
      usable = alive_hubs & serving
      candidates = (current.allocators & usable) or usable or {own_name}
      share = len(alive_hubs) / len(known_hubs)
    else:
      candidates = (alive_hubs - {own_name}) or {own_name}
      share = 1 / (len(others) + 1)
    allocator = max(
      candidates,
      key=lambda node: topology.hash_names(node, upstream.instance.id),
    )
    if allocator != own_name:
      self._allocated_ids.discard(upstream.instance.id)
    return allocator, share

  def _apply_notice(
    self, notice: messages.RateLimitNotice, now: Seconds
  ) -> inventory.Upstream | None:
    """Applies a notice; returns the upstream if its limit has changed."""
    upstream = self._upstreams.find(notice.upstream)
    if upstream is None:
      return None
    announcement = ratelimits.Announcement(
      notice.limit_per_s, now - notice.age_s
    )
    has_changed = self._upstreams.apply_announcement(upstream, announcement)
    return upstream if has_changed else None


def _make_notice(
  upstream: inventory.Upstream, now: Seconds
) -> messages.RateLimitNotice:
  announcement = upstream.announcement
  return messages.RateLimitNotice(
    upstream.instance.id,
    announcement.limit_per_s,
    now - announcement.observed_at,
  )
