"""Upstreams that this node avoids because their replies were unusable."""

from __future__ import annotations

from collections.abc import Sequence

from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.node import selection

_FAULTS = (
  exceptions.MalformedReplyError,
  exceptions.UpstreamFailedError,
  exceptions.ConnectionLostError,
)


class OutlierDetector:
  """Avoids an upstream for a while after several bad replies in a row.

  Without it a replica that always fails would use up the budget for retries.
  """

  def __init__(self) -> None:
    """Creates a detector that avoids nothing."""
    self._failures: dict[str, int] = {}
    self._avoided_until: dict[str, Seconds] = {}

  def record_reply(
    self,
    upstream: str,
    error: exceptions.BronzefoldError | None,
    now: Seconds,
  ) -> None:
    """Takes note of a reply.

    Args:
      upstream: Name of the upstream.
      error: What was wrong, None if the reply was good.
      now: The monotonic time.
    """
    if error is None:
      self._failures.pop(upstream, None)
      self._avoided_until.pop(upstream, None)
      return
    if not isinstance(error, _FAULTS):
      return
    failures = self._failures.get(upstream, 0) + 1
    self._failures[upstream] = failures
    if failures >= defaults.OUTLIER_FAILURES:
      self._avoided_until[upstream] = now + defaults.OUTLIER_EJECTION_S

  def filter_upstreams(
    self, usable: Sequence[selection.UsableUpstream], now: Seconds
  ) -> list[selection.UsableUpstream]:
    """Drops avoided upstreams, unless nothing would be left.

    Args:
      usable: The upstreams that may serve a request.
      now: The monotonic time.

    Returns:
      Those to choose from.
    """
    kept = [
      u for u in usable if self._avoided_until.get(u.entry.name, 0.0) <= now
    ]
    return kept or list(usable)
