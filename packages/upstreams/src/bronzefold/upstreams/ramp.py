"""Limit on the work in progress of one upstream, low while it is cold."""

from __future__ import annotations

import statistics

from bronzefold.core import defaults
from bronzefold.core.clock import Seconds

_WARM_LATENCY_FACTOR = 2.0
_STABLE_LATENCY_RATIO = 0.9
_STABLE_WINDOWS = 3
_BASELINE_WEIGHT = 0.05


class ColdStartRamp:
  """Raises the limit step by step while the upstream's own answers allow it.

  An upstream is cold until enough answers came within its usual latency; its
  reports are not believed.

  Attributes:
    limit: Requests that may be in progress at once.
    instance: The upstream's instance that the limit is for, empty if none
      is known.
  """

  def __init__(self, slots: int, cold_slots: int, warm_up_s: Seconds) -> None:
    """Creates a ramp for a cold upstream.

    Args:
      slots: Limit of a warm upstream.
      cold_slots: Limit of a cold upstream.
      warm_up_s: Time for which an upstream counts as cold at least.
    """
    assert 1 <= cold_slots <= slots
    self._slots = slots
    self._cold_slots = cold_slots
    self._warm_up_s = warm_up_s
    self._cold_since: Seconds | None = None
    self.limit = cold_slots
    self.instance = ""
    self._baseline_s: Seconds | None = None
    self._previous_median_s: Seconds | None = None
    self._window: list[Seconds] = []
    self._step_started: Seconds | None = None
    self._slow_run = 0
    self._stable_windows = 0
    self._suspended_limit: int | None = None

  @property
  def warm(self) -> bool:
    """True when the upstream carries its full work."""
    return self.limit == self._slots and self.instance != ""

  @property
  def baseline_s(self) -> Seconds | None:
    """The upstream's latency while warm, None when not known."""
    return self._baseline_s

  def expect_warm(self, instance: str, latency_s: Seconds) -> None:
    """Takes over an upstream that its previous owner knew to be warm.

    The limit stays low until ``confirm`` names the same instance.

    Args:
      instance: The instance that the previous owner knew.
      latency_s: Its latency while warm.
    """
    self.instance = instance
    self._suspended_limit = self._slots
    self._baseline_s = latency_s

  def suspend(self) -> None:
    """Falls back to the cold limit until the instance is confirmed."""
    if self._suspended_limit is None:
      self._suspended_limit = self.limit
    self.limit = self._cold_slots

  def confirm(self, instance: str, now: Seconds) -> None:
    """Takes note of the instance that a new connection or report names.

    Args:
      instance: The instance; another one than before is cold.
      now: The monotonic time.
    """
    if instance != self.instance:
      self.restart(instance, now)
    elif self._suspended_limit is not None:
      self.limit = self._suspended_limit
      self._suspended_limit = None

  def restart(self, instance: str, now: Seconds) -> None:
    """Starts over with a cold upstream."""
    self.instance = instance
    self.limit = self._cold_slots
    self._suspended_limit = None
    self._previous_median_s = None
    self._stable_windows = 0
    self._cold_since = now
    self._begin_step(now)

  def record_success(self, latency_s: Seconds, now: Seconds) -> None:
    """Takes note of an answer.

    Args:
      latency_s: Time from sending to the whole answer.
      now: The monotonic time.
    """
    if self.warm:
      self._watch_warm(latency_s, now)
      return
    if self._cold_since is None:
      self._cold_since = now
      self._begin_step(now)
    self._window.append(latency_s)
    self._try_step(now)

  def record_refusal(self, now: Seconds) -> None:
    """Takes note that the upstream shed work: it bears less than thought."""
    if not self.warm:
      self.restart(self.instance, now)

  def _begin_step(self, now: Seconds) -> None:
    self._step_started = now
    self._window = []
    self._slow_run = 0

  def _watch_warm(self, latency_s: Seconds, now: Seconds) -> None:
    if self._baseline_s is None:
      self._baseline_s = latency_s
    # Delays of this process must not pass for a cold upstream.
    cold_latency_s = max(
      self._baseline_s * defaults.COLD_LATENCY_FACTOR,
      self._baseline_s + defaults.COLD_LATENCY_EXCESS_S,
    )
    if latency_s > cold_latency_s:
      self._slow_run += 1
    else:
      self._slow_run = 0
      self._baseline_s += _BASELINE_WEIGHT * (latency_s - self._baseline_s)
    if self._slow_run >= defaults.SLOW_REPLIES_UNTIL_COLD:
      self.restart(self.instance, now)

  def _try_step(self, now: Seconds) -> None:
    if len(self._window) < defaults.RAMP_STEP_SUCCESSES:
      return
    if now - self._step_started < defaults.MIN_RAMP_STEP_S:
      return
    if now - self._cold_since < self._warm_up_s:
      return
    median_s = statistics.median(self._window)
    if self._looks_warm(median_s):
      self.limit = min(self._slots, self.limit + 1)
      if self.limit == self._slots:
        self._baseline_s = median_s
    self._previous_median_s = median_s
    self._begin_step(now)

  def _looks_warm(self, median_s: Seconds) -> bool:
    """True when latency is usual, or has stopped falling for a while.

    The second condition keeps an outdated baseline from holding an upstream
    at its cold limit forever.
    """
    previous_s = self._previous_median_s
    if previous_s is not None:
      stable = median_s >= previous_s * _STABLE_LATENCY_RATIO
      self._stable_windows = self._stable_windows + 1 if stable else 0
    if self._baseline_s is not None:
      if median_s <= self._baseline_s * _WARM_LATENCY_FACTOR:
        return True
      return self._stable_windows >= _STABLE_WINDOWS
    return self._stable_windows >= 1
