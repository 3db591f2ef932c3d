"""Health of one upstream as this node observes it: latency and failures."""

from __future__ import annotations

import math

import attrs

from bronzefold.core.clock import Seconds

_SMOOTHING_GAIN = 0.125  # RFC 6298, alpha
_DEVIATION_GAIN = 0.25  # RFC 6298, beta
_DEVIATIONS = 2.0  # with the 4 of RFC 6298, a 120 ms pause is detected too late
_MIN_STALL_MARGIN_S = 0.01
_DECAY_S = 2.0  # about the interval between retries of a slow upstream
_REFUSAL_PENALTY_S = 0.1
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
_FAILURES_UNTIL_DOWN = 4


@attrs.define(eq=False)
class Health:
  """Running estimates for one upstream.

  Attributes:
    latency_s: Smoothed latency; None before the first served response.
    deviation_s: Smoothed deviation of the latency.
    last_success_at: Monotonic time of the last served response.
    refusal_rate: Smoothed share of the requests that it refused to run.
    refused_at: Monotonic time of the last refusal.
    failures: Failures since the last served response; one that shows the
      upstream to be unreachable counts as ``_FAILURES_UNTIL_DOWN``.
    failed_at: Monotonic time of the last failure.
    down_until: Monotonic time until which the upstream gets no requests.
    in_flight: Start times of the requests without a response, by attempt
      number, oldest first.
  """

  latency_s: Seconds | None = None
  deviation_s: Seconds = 0.0
  last_success_at: Seconds = 0.0
  refusal_rate: float = 0.0
  refused_at: Seconds = 0.0
  failures: int = 0
  failed_at: Seconds = 0.0
  down_until: Seconds = 0.0
  in_flight: dict[int, Seconds] = attrs.field(factory=dict)

  def record_success(self, latency_s: Seconds, now: Seconds) -> None:
    """Updates the estimates with a served response.

    Args:
      latency_s: Time from the start of the attempt to the response.
      now: Monotonic time.
    """
    if self.latency_s is None:
      self.latency_s = latency_s
      self.deviation_s = latency_s / 2
    else:
      error = abs(latency_s - self.latency_s)
      self.deviation_s += _DEVIATION_GAIN * (error - self.deviation_s)
      self.latency_s += _SMOOTHING_GAIN * (latency_s - self.latency_s)
    self.last_success_at = now
    self.refusal_rate -= _SMOOTHING_GAIN * self.refusal_rate
    self.failures = 0
    self.down_until = 0.0

  def record_refusal(self, now: Seconds) -> None:
    """Records that the upstream refused to run a request."""
    self.refusal_rate += _SMOOTHING_GAIN * (1.0 - self.refusal_rate)
    self.refused_at = now

  def record_failure(self, now: Seconds, is_unreachable: bool = False) -> None:
    """Records a failure; the upstream is down after several in a row.

    Args:
      now: Monotonic time.
      is_unreachable: True if no connection to the upstream could be opened; it
        is then down at once.
    """
    self.failures += _FAILURES_UNTIL_DOWN if is_unreachable else 1
    self.failed_at = now
    excess = self.failures - _FAILURES_UNTIL_DOWN
    if excess >= 0:
      backoff_s = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2.0 ** min(excess, 8))
      self.down_until = now + backoff_s

  def is_down(self, now: Seconds) -> bool:
    """True while the upstream gets no requests because of failures."""
    return now < self.down_until

  def is_stalled(self, now: Seconds) -> bool:
    """True while a request takes longer than the latency estimate explains."""
    if not self.in_flight or self.latency_s is None:
      return False
    oldest_started_at = next(iter(self.in_flight.values()))
    return (
      now - max(oldest_started_at, self.last_success_at) > self.stall_after_s
    )

  def is_silent(self, since: Seconds, after_s: Seconds, now: Seconds) -> bool:
    """True if the upstream has failed, or a request got no response for long.

    Args:
      since: Monotonic time after which a failure counts.
      after_s: Time after which a request counts, in seconds.
      now: Monotonic time.
    """
    if self.failures and self.failed_at > since:
      return True
    return any(
      now - started_at >= after_s for started_at in self.in_flight.values()
    )

  def is_used(self, since: Seconds) -> bool:
    """True if a request is in progress, or one was served or failed since then.

    Args:
      since: Monotonic time.
    """
    has_failed = bool(self.failures) and self.failed_at > since
    return bool(self.in_flight) or has_failed or self.last_success_at > since

  def forget_failures(self) -> None:
    """Makes the upstream usable again, as its failures had another cause."""
    self.failures = 0
    self.down_until = 0.0

  @property
  def stall_after_s(self) -> Seconds:
    """Time without a response after which the upstream counts as stalled."""
    latency_s = self.latency_s or 0.0
    return latency_s + max(_MIN_STALL_MARGIN_S, _DEVIATIONS * self.deviation_s)

  def estimate_latency(self, default_s: Seconds, now: Seconds) -> Seconds:
    """Returns the expected latency, including a penalty for refusals.

    The weight of old observations decays towards the default, so that a slow
    upstream is tried again.

    Args:
      default_s: Latency to assume without observations.
      now: Monotonic time.
    """
    refusals = self.refusal_rate * math.exp((self.refused_at - now) / _DECAY_S)
    penalty_s = refusals * _REFUSAL_PENALTY_S
    if self.latency_s is None:
      return default_s + penalty_s
    weight = math.exp((self.last_success_at - now) / _DECAY_S)
    return default_s + (self.latency_s - default_s) * weight + penalty_s
