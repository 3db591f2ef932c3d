"""Rate limits announced by upstreams, and the tokens that requests cost.

While an upstream announces a rate limit, each request to it costs a token. One
node allocates the upstream's tokens to all nodes; see ``tokens``.
"""

from __future__ import annotations

import collections
import itertools

import attrs

from bronzefold.core import budgets
from bronzefold.core import defaults
from bronzefold.core.clock import Seconds

# Bounds the tokens that unreachable or idle nodes hold, and the requests of a
# former allocator's tokens after a successor has started.
TOKEN_VALIDITY_S = 0.5
# A burst lets several nodes send at the same moment; without the constant part
# a low limit would serve one node at a time.
BURST_REQUESTS = 3.0
BURST_S = 0.5  # of the announced rate
REQUEST_TIMEOUT_S = 0.05  # 25 times a round trip between zones
GRANT_DELAY_S = 0.002  # a round trip between zones
USAGE_WINDOW_S = 0.25  # tokens used in it are requested again in advance
MAX_TOKENS_PER_REQUEST = 64


@attrs.frozen
class Announcement:
  """What an upstream said about its rate limit.

  Attributes:
    limit_per_s: Requests per second that it accepts from all nodes together;
      None if it announces no limit.
    observed_at: Monotonic time of the response that said so.
  """

  limit_per_s: float | None
  observed_at: Seconds


class RateLimit:
  """An upstream's rate limit and this node's tokens for it.

  Attributes:
    limit_per_s: Requests per second that the upstream accepts from all nodes
      together.
    noticed_at: Monotonic time at which this node last informed its peers.
  """

  def __init__(self, limit_per_s: float) -> None:
    """Creates a limit without tokens.

    Args:
      limit_per_s: The limit that the upstream announces.
    """
    self.limit_per_s = limit_per_s
    self.noticed_at: Seconds | None = None
    self._token_expiries: collections.deque[Seconds] = collections.deque()
    self._spent_at: collections.deque[Seconds] = collections.deque(
      maxlen=MAX_TOKENS_PER_REQUEST
    )
    self._requested_at: Seconds | None = None
    self._denied_until: Seconds = 0.0
    self._bucket: budgets.TokenBucket | None = None

  def has_token(self, now: Seconds) -> bool:
    """True if a request may be sent."""
    while self._token_expiries and self._token_expiries[0] <= now:
      self._token_expiries.popleft()
    return bool(self._token_expiries)

  def spend(self, now: Seconds) -> None:
    """Spends the token that expires first; requires ``has_token``."""
    self._token_expiries.popleft()
    self._spent_at.append(now)

  def release(self, count: int, now: Seconds) -> int:
    """Gives up to ``count`` tokens to another node; returns their number."""
    released = 0
    while released < count and self.has_token(now):
      self.spend(now)
      released += 1
    return released

  def may_request(self, now: Seconds) -> bool:
    """True unless a request is pending or was denied a short time ago."""
    is_pending = (
      self._requested_at is not None
      and now - self._requested_at < REQUEST_TIMEOUT_S
    )
    return not is_pending and now >= self._denied_until

  def start_request(self, now: Seconds) -> int:
    """Records that tokens are requested.

    Args:
      now: Monotonic time.

    Returns:
      How many to request: one, and as many as were spent a short time ago.
    """
    self._requested_at = now
    spent = sum(now - spent_at < USAGE_WINDOW_S for spent_at in self._spent_at)
    return min(1 + spent, MAX_TOKENS_PER_REQUEST)

  def record_grant(
    self, count: int, wait_s: Seconds, requested_at: Seconds, now: Seconds
  ) -> None:
    """Records the response to a request for tokens.

    Args:
      count: Number of tokens granted.
      wait_s: Time until the allocator has a token, if none was granted.
      requested_at: Monotonic time of the request; the tokens are valid from
        then.
      now: Monotonic time.
    """
    self._requested_at = None
    expires_at = requested_at + TOKEN_VALIDITY_S
    self._token_expiries.extend(itertools.repeat(expires_at, count))
    if not count:
      self._denied_until = now + wait_s

  def get_wait(self, now: Seconds) -> Seconds:
    """Returns the expected time until this node has a token."""
    if self.has_token(now):
      return 0.0
    return max(GRANT_DELAY_S, self._denied_until - now)

  def allocate(
    self, count: int, share: float, now: Seconds
  ) -> tuple[int, Seconds]:
    """Allocates tokens of the upstream; called on its allocator.

    Args:
      count: Number of tokens wanted.
      share: Share of the limit that this allocator may allocate.
      now: Monotonic time.

    Returns:
      The number of tokens allocated, and the time until the next one.
    """
    limit_per_s = share * max(
      defaults.MIN_UPSTREAM_RATE_PER_S, self.limit_per_s
    )
    burst = max(1.0, share * BURST_REQUESTS + BURST_S * limit_per_s)
    if self._bucket is None:
      self._bucket = budgets.TokenBucket(now)
    self._bucket.set_rate(limit_per_s, burst, now)
    return self._bucket.take(count, now), self._bucket.get_wait(now)
