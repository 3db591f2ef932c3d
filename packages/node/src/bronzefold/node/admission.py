"""Admission control of requests, before they cause requests to upstreams."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib

from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.node import routing


def estimate_duration(candidates: Sequence[routing.Candidate]) -> Seconds:
  """Estimates how long a search that starts now would take.

  The estimate for an idle service is 0, so that its searches are never
  refused: only traffic can correct a latency estimate that has become too
  high, or make a cold upstream warm.

  Args:
    candidates: The usable upstreams of the service, with their current load.

  Returns:
    The time in seconds; 0 if no latency is known or the upstreams are idle.
  """
  with_latency = [candidate for candidate in candidates if candidate.latency_s]
  load = sum(candidate.load for candidate in candidates)
  if not with_latency or not load:
    return 0.0
  slots = sum(candidate.limit for candidate in candidates)
  latency_s = sum(
    candidate.latency_s * candidate.limit for candidate in with_latency
  )
  latency_s /= sum(candidate.limit for candidate in with_latency)
  # A search itself makes about as many exchanges as there are slots.
  return latency_s * (load / slots + 1.0)


class AdmissionController:
  """Limits the requests that are in progress on this node.

  Searches and actions have separate limits, so that searches cannot use up the
  capacity for actions.

  Attributes:
    searches: Count of searches in progress.
    actions: Count of actions in progress.
    refused: Count of requests refused since the start.
  """

  def __init__(self, max_searches: int, max_actions: int) -> None:
    """Creates a controller without requests in progress.

    Args:
      max_searches: Searches that may be in progress at once.
      max_actions: Actions that may be in progress at once.
    """
    self._max_searches = max_searches
    self._max_actions = max_actions
    self.searches = 0
    self.actions = 0
    self.refused = 0

  @property
  def in_progress(self) -> int:
    """Count of all requests in progress."""
    return self.searches + self.actions

  @contextlib.contextmanager
  def admit_search(self) -> Iterator[None]:
    """Admits a search for the duration of a block.

    Raises:
      OverloadedError: Too many searches are in progress.
    """
    if self.searches >= self._max_searches:
      self._refuse(f"{self.searches} searches in progress")
    self.searches += 1
    try:
      yield
    finally:
      self.searches -= 1

  @contextlib.contextmanager
  def admit_action(self) -> Iterator[None]:
    """Admits an action for the duration of a block.

    Raises:
      OverloadedError: Too many actions are in progress.
    """
    if self.actions >= self._max_actions:
      self._refuse(f"{self.actions} actions in progress")
    self.actions += 1
    try:
      yield
    finally:
      self.actions -= 1

  def _refuse(self, detail: str) -> None:
    self.refused += 1
    raise exceptions.OverloadedError(detail)
