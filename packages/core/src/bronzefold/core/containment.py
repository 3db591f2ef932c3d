"""How far a request may go before an upstream is known to survive it.

Answers a request that crashes every upstream that begins to run it. A search
goes to all shards at once, and hedges and retries would carry it to the other
replicas before the first crash is known.
"""

from __future__ import annotations

import enum

import attrs

from bronzefold.core import quarantine

# Upstreams that may crash under a request before the others are spared. If it
# has more shards, the others show soon whether it is to blame.
MAX_CRASHES = 2
MAX_SEARCH_CRASHES = 1
# Upstreams that get a request at first while others have just crashed. One of
# two is rarely paused, so they rarely delay the request.
CANARY_COUNT = 2


class Caution(enum.Enum):
  """How a request is sent until an upstream has responded to it.

  Attributes:
    NONE: To all its shards.
    CANARY: To a few of its shards, as another request has crashed upstreams a
      short time ago.
    PROBE: To one upstream, once, as it is suspected itself.
  """

  NONE = "none"
  CANARY = "canary"
  PROBE = "probe"


@attrs.define(eq=False)
class Containment:
  """What the attempts of one request have shown.

  Attributes:
    caution: How it is sent until an upstream has responded.
    shard_count: Number of its shards.
    has_survivor: True once an upstream has responded to it.
    crash_count: Number of upstreams that crashed under it.
    started_count: Number of its attempts.
    ended_count: Number of its attempts that have ended.
  """

  caution: Caution
  shard_count: int
  has_survivor: bool = False
  crash_count: int = 0
  started_count: int = 0
  ended_count: int = 0

  @property
  def is_exhausted(self) -> bool:
    """True once nothing more is sent unless a pending attempt survives."""
    if self.has_survivor:
      return False
    was_probed = self.caution is Caution.PROBE and self.started_count > 0
    has_others = self.shard_count > MAX_CRASHES
    max_crashes = MAX_SEARCH_CRASHES if has_others else MAX_CRASHES
    return was_probed or self.crash_count >= max_crashes

  @property
  def must_give_up(self) -> bool:
    """True once no attempt is pending and no other one may be sent."""
    return self.is_exhausted and self.ended_count >= self.started_count

  def may_send(self) -> bool:
    """Decides whether the request may go to another upstream now."""
    if self.has_survivor:
      return True
    if self.is_exhausted:
      return False
    pending_count = self.started_count - self.ended_count
    return self.caution is not Caution.CANARY or pending_count < CANARY_COUNT

  def may_hedge(self) -> bool:
    """Decides whether a pending attempt may be hedged.

    If no shard of a search has responded, all are late, and so would be their
    other replicas.
    """
    return self.has_survivor or self.shard_count <= MAX_CRASHES

  def record_start(self) -> None:
    """Counts an attempt that was started."""
    self.started_count += 1

  def record_end(self, *, has_crashed: bool, has_survived: bool) -> None:
    """Records an attempt that has ended.

    Args:
      has_crashed: True if its upstream ended before it had responded.
      has_survived: True if its upstream has run it and responded.
    """
    self.ended_count += 1
    self.crash_count += has_crashed
    self.has_survivor = self.has_survivor or has_survived


def choose_caution(verdict: quarantine.Verdict, *, is_alert: bool) -> Caution:
  """Chooses how a request is sent that is not rejected.

  Args:
    verdict: What may be done with it.
    is_alert: True if another request has crashed upstreams lately.
  """
  if verdict is quarantine.Verdict.PROBE:
    return Caution.PROBE
  return Caution.CANARY if is_alert else Caution.NONE
