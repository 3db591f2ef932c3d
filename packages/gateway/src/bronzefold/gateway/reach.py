"""Whether this node reaches any upstream at all.

Answers a partition between a node and all upstreams, while callers, the store
and other nodes still reach it. The health of each upstream shows only that one;
their backoffs end at different times.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import functools
import logging
import math
import random

import anyio
import attrs

from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory

# Twice a usual pause of an upstream; under load some response arrives sooner.
SILENCE_S = 0.25
MIN_SILENT_UPSTREAMS = 3
# Fewer count if no other has been used for USED_S, after a longer silence.
FEW_SILENCE_S = 0.5
USED_S = 1.0
MIN_UNOPENED_UPSTREAMS = 2
WITNESS_S = 1.0  # within this time, a response shows that an upstream is up
PROBE_COUNT = 3
PROBE_TIMEOUT_S = 0.15  # 25 times a TCP handshake of 6 ms
CHECK_PERIOD_S = 0.1
# Least time between checks of a path that is there, as each opens connections.
TRUST_S = 1.0

_logger = logging.getLogger(__name__)

OnChange = Callable[[bool, Seconds], None]


@attrs.define(eq=False)
class Reach:
  """What this node knows of its path to the upstreams.

  Attributes:
    lost_at: Monotonic time at which probes found it lost; None if the last ones
      did not.
    responded_at: Monotonic time of the last response of any upstream.
    trusted_until: Monotonic time until which no check is needed.
    is_closed: True while new connections fail to upstreams that respond on
      open ones.
    unopened_ids: Ids of the upstreams to which a connection could not be opened
      since the last one that was opened to any.
    unopened_since: Monotonic time of the first check since then in which no
      upstream could be connected to that had responded; None without one.
  """

  lost_at: Seconds | None = None
  responded_at: Seconds = -math.inf
  trusted_until: Seconds = -math.inf
  is_closed: bool = False
  unopened_ids: set[str] = attrs.field(factory=set)
  unopened_since: Seconds | None = None

  @property
  def is_unknown(self) -> bool:
    """True until an upstream has responded or was probed."""
    return self.lost_at is None and self.responded_at == -math.inf

  @property
  def is_lost(self) -> bool:
    """True while no upstream can be reached, or not by a new connection."""
    return self.is_closed or (
      self.lost_at is not None and self.responded_at < self.lost_at
    )

  def is_doubtful(
    self,
    upstreams: Collection[inventory.Upstream],
    now: Seconds,
    silence_s: Seconds = SILENCE_S,
    *,
    may_be_few: bool = True,
  ) -> bool:
    """Decides whether the path to the upstreams must be checked.

    Args:
      upstreams: All upstreams.
      now: Monotonic time.
      silence_s: Time without a response that is needed for doubt, in seconds.
      may_be_few: True if the silence of fewer upstreams than
        ``MIN_SILENT_UPSTREAMS`` counts if they are all that were used lately.

    Returns:
      True if it is lost or unknown, or if several upstreams, or all that were
      used lately, and no other one have been silent for a while.
    """
    if self.is_lost:
      return True
    if self.is_unknown:
      return bool(upstreams)
    if now - self.responded_at < silence_s or now < self.trusted_until:
      return False
    silent_count = sum(
      upstream.health.is_silent(self.responded_at, silence_s, now)
      for upstream in upstreams
    )
    if 0 < min(len(upstreams), MIN_SILENT_UPSTREAMS) <= silent_count:
      return True
    return (
      may_be_few
      and now - self.responded_at >= FEW_SILENCE_S
      and self._are_used_ones_silent(upstreams, now)
    )

  def _are_used_ones_silent(
    self, upstreams: Collection[inventory.Upstream], now: Seconds
  ) -> bool:
    """True if there are upstreams that were used lately, and all are silent."""
    used_since = now - USED_S
    used = [
      upstream for upstream in upstreams if upstream.health.is_used(used_since)
    ]
    return bool(used) and all(
      upstream.health.is_silent(self.responded_at, FEW_SILENCE_S, now)
      for upstream in used
    )

  def list_witnesses(
    self, upstreams: Collection[inventory.Upstream], now: Seconds
  ) -> list[inventory.Upstream]:
    """Lists the upstreams that show whether new connections can be opened.

    They have responded lately, so they are up. After a check that failed, only
    a later response counts, as they may have ended together before it.

    Args:
      upstreams: All upstreams.
      now: Monotonic time.

    Returns:
      The upstreams; none if there is no doubt or too few have responded.
    """
    min_count = min(len(upstreams), MIN_UNOPENED_UPSTREAMS)
    is_due = self.unopened_since is not None or now >= self.trusted_until
    if self.is_lost or not is_due or len(self.unopened_ids) < min_count:
      return []
    since = self.unopened_since
    if since is None:
      since = now - WITNESS_S
    witnesses = [
      upstream
      for upstream in upstreams
      if upstream.health.last_success_at > since
    ]
    return witnesses if len(witnesses) >= min_count else []

  def record_response(self, now: Seconds) -> None:
    """Records that an upstream has responded."""
    self.responded_at = now

  def record_connection(self, instance_id: str, is_open: bool) -> None:
    """Records whether a connection to an upstream could be opened."""
    if is_open:
      self.unopened_ids.clear()
      self.unopened_since = None
    else:
      self.unopened_ids.add(instance_id)

  def record_witnesses(self, is_reached: bool, started_at: Seconds) -> None:
    """Records the result of a check of ``list_witnesses``.

    Args:
      is_reached: True if any of the probed upstreams was reached.
      started_at: Monotonic time of its start.
    """
    if is_reached:
      self.unopened_ids.clear()
      self.unopened_since = None
      self.trusted_until = started_at + TRUST_S
    elif not self.unopened_ids:
      pass  # a connection was opened in the meantime
    elif self.unopened_since is None:
      self.unopened_since = started_at
    else:
      self.is_closed = True

  def record_check(self, is_reached: bool, started_at: Seconds) -> None:
    """Records the result of a check.

    Args:
      is_reached: True if any of the probed upstreams was reached.
      started_at: Monotonic time of its start; a later response outweighs it.
    """
    if is_reached and self.is_unknown:
      # Other than a doubt that proved wrong, it is no reason for trust.
      self.responded_at = started_at
    elif is_reached:
      self.lost_at = None
      self.is_closed = False
      self.unopened_ids.clear()
      self.unopened_since = None
      self.trusted_until = started_at + TRUST_S
    elif self.lost_at is None or not self.is_lost:
      self.lost_at = started_at


class ReachChecker:
  """Checks the path to the upstreams whenever it is in doubt."""

  def __init__(
    self,
    path: Reach,
    upstreams: inventory.Inventory,
    on_change: OnChange,
  ) -> None:
    """Creates a checker; ``run`` is a task.

    Args:
      path: What this node knows of its path to the upstreams.
      upstreams: The inventory of upstreams.
      on_change: Called with True if the path is lost, False if it is there, and
        with the monotonic time; first when that is known.
    """
    self._path = path
    self._upstreams = upstreams
    self._on_change = on_change
    self._was_lost: bool | None = None  # None while that is unknown

  async def run(self) -> None:
    """Checks the path until cancelled."""
    while True:
      now = clock.read_monotonic()
      upstreams = self._upstreams.list_all()
      if self._path.is_doubtful(upstreams, now):
        is_reached = await _is_any_reached(upstreams)
        self._path.record_check(is_reached, now)
      elif witnesses := self._path.list_witnesses(upstreams, now):
        is_reached = await _is_any_reached(witnesses)
        self._path.record_witnesses(is_reached, now)
      if not self._path.is_unknown and self._path.is_lost != self._was_lost:
        self._process_change(upstreams, clock.read_monotonic())
      await anyio.sleep(CHECK_PERIOD_S)

  def _process_change(
    self, upstreams: list[inventory.Upstream], now: Seconds
  ) -> None:
    """Announces that the path is lost or there; logs what is no usual start."""
    is_start = self._was_lost is None
    self._was_lost = self._path.is_lost
    event = (
      events.UPSTREAMS_UNREACHABLE
      if self._was_lost
      else events.UPSTREAMS_REACHED
    )
    if self._was_lost or not is_start:
      event.log(
        _logger,
        upstreams=len(upstreams),
        silent_s=round(min(now - self._path.responded_at, 1e6), 3),
      )
    if not self._was_lost:
      for upstream in upstreams:
        upstream.health.forget_failures()
    self._on_change(self._was_lost, now)


async def _is_any_reached(upstreams: list[inventory.Upstream]) -> bool:
  """Returns whether a connection opens to one of some upstreams at random."""
  probed = random.sample(upstreams, min(PROBE_COUNT, len(upstreams)))
  return await _any_true(
    [
      functools.partial(upstream.pool.probe, PROBE_TIMEOUT_S)
      for upstream in probed
    ]
  )


async def _any_true(works: list[Callable[[], Awaitable[bool]]]) -> bool:
  """Runs functions at the same time until one of them returns True."""
  results: list[bool] = []
  async with anyio.create_task_group() as tasks:

    async def run(work: Callable[[], Awaitable[bool]]) -> None:
      results.append(await work())
      if results[-1]:
        tasks.cancel_scope.cancel()

    for work in works:
      tasks.start_soon(run, work)
  return any(results)
