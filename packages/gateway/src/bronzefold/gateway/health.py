"""What a node has seen of one upstream: latency, failures, silence."""

from __future__ import annotations

import math

import attrs

from bronzefold.core.clock import Seconds

_GAIN = 0.125  # RFC 6298, alpha
_DEVIATION_GAIN = 0.25  # RFC 6298, beta
_DEVIATIONS = 2.0  # RFC 6298 has 4, which noticed a pause of 120 ms too late
_STALL_FLOOR_S = 0.01
_FADE_S = 2.0  # a slow upstream is tried again about this often
_REFUSAL_COST_S = 0.1
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0
_FAILURES_UNTIL_DOWN = 4


@attrs.define(eq=False)
class Health:
  """Running estimates for one upstream.

  Attributes:
    latency_s: Smoothed latency; None before the first reply.
    deviation_s: Smoothed deviation of the latency.
    last_reply_at: Monotonic time of the last reply.
    refusal_rate: Smoothed share of the requests that it refused to run.
    refused_at: Monotonic time of the last refusal.
    failures: Failures since the last reply.
    down_until: Monotonic time until which it is avoided.
    in_flight: Start times of the requests without a reply, by attempt.
  """

  latency_s: Seconds | None = None
  deviation_s: Seconds = 0.0
  last_response_at: Seconds = 0.0
  refusal_rate: float = 0.0
  refused_at: Seconds = 0.0
  failures: int = 0
  down_until: Seconds = 0.0
  in_flight: dict[int, Seconds] = attrs.field(factory=dict)

  def record_response(self, latency_s: Seconds, now: Seconds) -> None:
    """Takes note of a reply."""
    if self.latency_s is None:
      self.latency_s = latency_s
      self.deviation_s = latency_s / 2
    else:
      error = abs(latency_s - self.latency_s)
      self.deviation_s += _DEVIATION_GAIN * (error - self.deviation_s)
      self.latency_s += _GAIN * (latency_s - self.latency_s)
    self.last_response_at = now
    self.refusal_rate -= _GAIN * self.refusal_rate
    self.failures = 0
    self.down_until = 0.0

  def record_refusal(self, now: Seconds) -> None:
    """Takes note that it refused to run a request."""
    self.refusal_rate += _GAIN * (1.0 - self.refusal_rate)
    self.refused_at = now

  def record_failure(self, now: Seconds, is_certain: bool = False) -> None:
    """Takes note of a failure.

    Args:
      now: Monotonic time.
      is_certain: True if the upstream can't be there, as after a refused
        connection.
    """
    self.failures += _FAILURES_UNTIL_DOWN if is_certain else 1
    excess = self.failures - _FAILURES_UNTIL_DOWN
    if excess >= 0:
      backoff_s = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2.0 ** min(excess, 8))
      self.down_until = now + backoff_s

  def is_down(self, now: Seconds) -> bool:
    """True while the upstream is avoided after failures."""
    return now < self.down_until

  def is_stalled(self, now: Seconds) -> bool:
    """True while a request waits longer than the usual latency explains."""
    if not self.in_flight or self.latency_s is None:
      return False
    oldest = next(iter(self.in_flight.values()))
    return now - max(oldest, self.last_response_at) > self.stall_after_s

  @property
  def stall_after_s(self) -> Seconds:
    """Time without a reply after which an upstream counts as stalled."""
    latency_s = self.latency_s or 0.0
    return latency_s + max(_STALL_FLOOR_S, _DEVIATIONS * self.deviation_s)

  def estimate_latency(self, usual_s: Seconds, now: Seconds) -> Seconds:
    """Returns the latency to expect; old observations fade to the usual.

    Args:
      usual_s: Latency of its siblings.
      now: Monotonic time.
    """
    refusals = self.refusal_rate * math.exp((self.refused_at - now) / _FADE_S)
    penalty_s = refusals * _REFUSAL_COST_S
    if self.latency_s is None:
      return usual_s + penalty_s
    weight = math.exp((self.last_response_at - now) / _FADE_S)
    return usual_s + (self.latency_s - usual_s) * weight + penalty_s
