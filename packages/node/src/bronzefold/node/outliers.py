"""Outlier detection: ejection of upstreams whose exchanges fail."""

from __future__ import annotations

from collections.abc import Sequence

from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.node import selection

_OUTLIER_ERRORS = (
  exceptions.MalformedReplyError,
  exceptions.UpstreamFailedError,
  exceptions.ConnectionLostError,
)


class OutlierDetector:
  """Ejects an upstream for a time after several failed exchanges in a row.

  Otherwise a replica that always fails would exhaust the retry budget.
  """

  def __init__(self) -> None:
    """Creates a detector without ejected upstreams."""
    self._consecutive_failures: dict[str, int] = {}
    self._ejected_until: dict[str, Seconds] = {}

  def record_exchange(
    self,
    upstream: str,
    error: exceptions.BronzefoldError | None,
    now: Seconds,
  ) -> None:
    """Records the result of an exchange.

    A good reply ends the ejection. Errors that do not show a faulty upstream
    are ignored.

    Args:
      upstream: Name of the upstream.
      error: Error of the exchange, None if the reply was good.
      now: The monotonic time.
    """
    if error is None:
      self._consecutive_failures.pop(upstream, None)
      self._ejected_until.pop(upstream, None)
      return
    if not isinstance(error, _OUTLIER_ERRORS):
      return
    failures = self._consecutive_failures.get(upstream, 0) + 1
    self._consecutive_failures[upstream] = failures
    if failures >= defaults.OUTLIER_FAILURES:
      self._ejected_until[upstream] = now + defaults.OUTLIER_EJECTION_S

  def filter_upstreams(
    self, candidates: Sequence[selection.UsableUpstream], now: Seconds
  ) -> list[selection.UsableUpstream]:
    """Removes ejected upstreams, unless none would remain.

    Args:
      candidates: The upstreams that may serve a request.
      now: The monotonic time.

    Returns:
      The upstreams to choose from.
    """
    remaining = [
      u for u in candidates if self._ejected_until.get(u.entry.name, 0.0) <= now
    ]
    return remaining or list(candidates)
