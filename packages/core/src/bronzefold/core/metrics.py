"""Metrics of a node, in the Prometheus format."""

from __future__ import annotations

import aioprometheus
from aioprometheus import renderer

from bronzefold.core.clock import Seconds

_LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.21, 0.5, 1.0, 5.0]


class Metrics:
  """The metrics of one node."""

  def __init__(self) -> None:
    """Creates metrics at zero in a registry of their own."""
    self._registry = aioprometheus.Registry()
    self._requests = aioprometheus.Counter(
      "bronzefold_requests_total",
      "Requests by service, route and outcome.",
      registry=self._registry,
    )
    self._latency = aioprometheus.Histogram(
      "bronzefold_request_seconds",
      "Duration of requests.",
      buckets=_LATENCY_BUCKETS_S,
      registry=self._registry,
    )
    self._coverage = aioprometheus.Histogram(
      "bronzefold_coverage_share",
      "Share of the records that an answer covers.",
      buckets=[0.5, 0.9, 0.99, 0.999, 1.0],
      registry=self._registry,
    )
    self._sends = aioprometheus.Counter(
      "bronzefold_sends_total",
      "Requests sent to upstreams, or withheld, by reason.",
      registry=self._registry,
    )
    self._gauges = aioprometheus.Gauge(
      "bronzefold_state",
      "Counts of the node's present state, by name.",
      registry=self._registry,
    )

  def record_request(
    self, service: str, route: str, outcome: str, took_s: Seconds
  ) -> None:
    """Counts a finished request and its duration."""
    labels = {"service": service, "route": route}
    self._requests.inc({**labels, "outcome": outcome})
    self._latency.observe(labels, took_s)

  def record_coverage(self, service: str, share: float) -> None:
    """Records the share of the records that an answer covers."""
    self._coverage.observe({"service": service}, share)

  def record_sends(self, reason: str, count: int = 1) -> None:
    """Counts requests that were sent to upstreams or withheld."""
    if count:
      self._sends.add({"reason": reason}, count)

  def set_gauge(self, name: str, value: float) -> None:
    """Sets the gauge of a name."""
    self._gauges.set({"name": name}, value)

  def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Renders the metrics.

    Args:
      accept: Values of the request's ``Accept`` headers.

    Returns:
      The body and headers of the response.
    """
    return renderer.render(self._registry, accept)
