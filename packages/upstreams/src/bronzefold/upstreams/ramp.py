"""Limit on the requests in progress at one upstream, low while it is cold."""

from __future__ import annotations

import statistics

from bronzefold.core import defaults
from bronzefold.core.clock import Seconds

_WARM_LATENCY_FACTOR = 2.0
_STABLE_LATENCY_RATIO = 0.9
_MIN_STABLE_STEPS = 3
_BASELINE_WEIGHT = 0.05


class ColdStartRamp:
  """Raises the limit in steps while the latency of responses permits it.

  Each step whose median latency is near the baseline or has stopped falling
  raises the limit by one. An upstream is cold until the limit is at its
  maximum. The state that it reports itself is ignored.

  Attributes:
    limit: Highest permitted count of requests in progress.
    instance: Id of the upstream's process that the limit applies to, empty if
      not known.
  """

  def __init__(self, slots: int, cold_slots: int, warm_up_s: Seconds) -> None:
    """Creates a ramp for a cold upstream.

    Args:
      slots: Limit of a warm upstream.
      cold_slots: Limit of a cold upstream.
      warm_up_s: Shortest time for which an upstream counts as cold, in
        seconds.
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
    self._step_latencies_s: list[Seconds] = []
    self._step_started_at: Seconds | None = None
    self._consecutive_slow = 0
    self._stable_steps = 0
    self._suspended_limit: int | None = None

  @property
  def warm(self) -> bool:
    """True when the instance is known and the limit is at its maximum."""
    return self.limit == self._slots and self.instance != ""

  @property
  def baseline_s(self) -> Seconds | None:
    """Latency of the warm upstream in seconds, None if not known."""
    return self._baseline_s

  def expect_warm(self, instance: str, latency_s: Seconds) -> None:
    """Initialises the ramp of an upstream that was warm at its previous owner.

    The limit stays low until ``confirm_instance`` is called with the same
    instance.

    Args:
      instance: Instance that the previous owner reported.
      latency_s: Latency of the warm instance in seconds.
    """
    self.instance = instance
    self._suspended_limit = self._slots
    self._baseline_s = latency_s

  def suspend(self) -> None:
    """Lowers the limit to the cold limit until the instance is confirmed."""
    if self._suspended_limit is None:
      self._suspended_limit = self.limit
    self.limit = self._cold_slots

  def confirm_instance(self, instance: str, now: Seconds) -> None:
    """Sets the instance named by a response or status report.

    A new instance is cold; the current instance ends a suspension.

    Args:
      instance: Id of the upstream's process.
      now: Monotonic time.
    """
    if instance != self.instance:
      self.reset(instance, now)
    elif self._suspended_limit is not None:
      self.limit = self._suspended_limit
      self._suspended_limit = None

  def reset(self, instance: str, now: Seconds) -> None:
    """Resets the ramp to a cold upstream.

    Args:
      instance: Id of the upstream's process.
      now: Monotonic time.
    """
    self.instance = instance
    self.limit = self._cold_slots
    self._suspended_limit = None
    self._previous_median_s = None
    self._stable_steps = 0
    self._cold_since = now
    self._start_step(now)

  def record_success(self, latency_s: Seconds, now: Seconds) -> None:
    """Updates the limit after a response.

    Args:
      latency_s: Time from sending the request to the complete response, in
        seconds.
      now: Monotonic time.
    """
    if self.warm:
      self._check_warm_latency(latency_s, now)
      return
    if self._cold_since is None:
      self._cold_since = now
      self._start_step(now)
    self._step_latencies_s.append(latency_s)
    self._evaluate_step(now)

  def record_refusal(self, now: Seconds) -> None:
    """Resets the ramp after the upstream shed a request, unless it is warm.

    The capacity of an upstream that sheds is lower than the limit.

    Args:
      now: Monotonic time.
    """
    if not self.warm:
      self.reset(self.instance, now)

  def _start_step(self, now: Seconds) -> None:
    self._step_started_at = now
    self._step_latencies_s = []
    self._consecutive_slow = 0

  def _check_warm_latency(self, latency_s: Seconds, now: Seconds) -> None:
    if self._baseline_s is None:
      self._baseline_s = latency_s
    # Without the constant excess, short delays in this process would make a
    # fast upstream look cold.
    cold_latency_s = max(
      self._baseline_s * defaults.COLD_LATENCY_FACTOR,
      self._baseline_s + defaults.COLD_LATENCY_EXCESS_S,
    )
    if latency_s > cold_latency_s:
      self._consecutive_slow += 1
    else:
      self._consecutive_slow = 0
      self._baseline_s += _BASELINE_WEIGHT * (latency_s - self._baseline_s)
    if self._consecutive_slow >= defaults.SLOW_REPLIES_UNTIL_COLD:
      self.reset(self.instance, now)

  def _evaluate_step(self, now: Seconds) -> None:
    if len(self._step_latencies_s) < defaults.RAMP_STEP_SUCCESSES:
      return
    if now - self._step_started_at < defaults.MIN_RAMP_STEP_S:
      return
    if now - self._cold_since < self._warm_up_s:
      return
    median_s = statistics.median(self._step_latencies_s)
    if self._is_warm_latency(median_s):
      self.limit = min(self._slots, self.limit + 1)
      if self.limit == self._slots:
        self._baseline_s = median_s
    self._previous_median_s = median_s
    self._start_step(now)

  def _is_warm_latency(self, median_s: Seconds) -> bool:
    """Returns True if latency is near the baseline or has stopped falling.

    Without the second condition, an outdated baseline could keep an upstream
    at its cold limit forever.

    Args:
      median_s: Median latency of the step in seconds.
    """
    previous_s = self._previous_median_s
    if previous_s is not None:
      stable = median_s >= previous_s * _STABLE_LATENCY_RATIO
      self._stable_steps = self._stable_steps + 1 if stable else 0
    if self._baseline_s is not None:
      if median_s <= self._baseline_s * _WARM_LATENCY_FACTOR:
        return True
      return self._stable_steps >= _MIN_STABLE_STEPS
    return self._stable_steps >= 1
