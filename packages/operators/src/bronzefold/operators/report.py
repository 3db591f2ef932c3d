"""The report on error budget burn, as text and as an HTML page with plots."""

from __future__ import annotations

import base64
from collections.abc import Sequence
import html
import io
import pathlib

import attrs
import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot  # noqa: E402

from bronzefold.core import burn  # noqa: E402
from bronzefold.core import documents  # noqa: E402
from bronzefold.core.clock import Seconds  # noqa: E402

_HEADER = "SERVICE ROUTE OBJECTIVE " + " ".join(burn.WINDOWS_S) + " STATE"


@attrs.frozen
class ServiceBurn:
  """Error budget burn of one service.

  Attributes:
    service: Name of the service.
    objectives: Its service-level objectives.
    history: Counts of its requests over time.
    rates: Burn rates by route, objective and window.
    alerts: Objectives whose error budget is spent too fast.
  """

  service: str
  objectives: documents.Objectives
  history: burn.History
  rates: list[burn.BurnRate]
  alerts: list[burn.Alert]


def assess_burn(
  document: documents.Document, history: burn.History, now_wall: Seconds
) -> ServiceBurn:
  """Computes the burn rates and alerts of a service.

  Args:
    document: The service's document.
    history: Counts of its requests over time.
    now_wall: Wall time, seconds since the Unix epoch.

  Returns:
    The burn of the service.
  """
  rates = burn.compute_rates(history, document.objectives, now_wall)
  return ServiceBurn(
    document.service,
    document.objectives,
    history,
    rates,
    burn.find_alerts(rates),
  )


def write_text(services: Sequence[ServiceBurn]) -> str:
  """Returns the report as a table."""
  lines = [_HEADER]
  for service in services:
    lines.extend(_write_rows(service))
  return "\n".join(lines)


def write_page(
  services: Sequence[ServiceBurn], path: pathlib.Path, now_wall: Seconds
) -> None:
  """Writes the report as an HTML page with plots.

  Args:
    services: Burn of each service.
    path: File to write to.
    now_wall: Wall time, seconds since the Unix epoch.
  """
  parts = [
    "<!doctype html><meta charset='utf-8'><title>Service-level burn</title>",
    "<style>body{font-family:sans-serif;margin:2em}pre{font-size:1.1em}</style>",
    "<h1>Service-level burn</h1>",
    f"<pre>{html.escape(write_text(services))}</pre>",
  ]
  for service in services:
    parts.append(f"<h2>{html.escape(service.service)}</h2>")
    image = base64.b64encode(_plot(service, now_wall)).decode()
    parts.append(f"<img alt='burn' src='data:image/png;base64,{image}'>")
  path.write_text("\n".join(parts), "utf-8")


def _write_rows(service: ServiceBurn) -> list[str]:
  rates_by_objective: dict[tuple[str, str], list[burn.BurnRate]] = {}
  for rate in service.rates:
    rates_by_objective.setdefault((rate.route, rate.objective), []).append(rate)
  return [
    f"{service.service} {route} {objective} "
    + " ".join(f"{rate.rate:.2f}" for rate in rates)
    + f" {_find_state(service, route, objective)}"
    for (route, objective), rates in rates_by_objective.items()
  ]


def _find_state(service: ServiceBurn, route: str, objective: str) -> str:
  speeds = [
    alert.speed
    for alert in service.alerts
    if (alert.route, alert.objective) == (route, objective)
  ]
  return "+".join(f"{speed}_burn" for speed in speeds) or "ok"


def _plot(service: ServiceBurn, now_wall: Seconds) -> bytes:
  figure, axes = pyplot.subplots(figsize=(9, 3.5))
  routes = sorted({r for b in service.history.buckets for r in b.routes})
  for route in routes:
    buckets = [b for b in service.history.buckets if route in b.routes]
    hours = [(b.start - now_wall) / 3600 for b in buckets]
    shares = [_compute_bad_share(b.routes[route]) for b in buckets]
    axes.plot(hours, shares, marker=".", label=route)
  axes.axhline(
    100 * (1 - service.objectives.latency_share),
    color="grey",
    linestyle="--",
    label="allowed share of late requests",
  )
  axes.set_xlabel("hours before now")
  axes.set_ylabel("failed, late or incomplete, %")
  axes.set_ylim(bottom=0)
  axes.legend(loc="upper left")
  figure.tight_layout()
  output = io.BytesIO()
  figure.savefig(output, format="png")
  pyplot.close(figure)
  return output.getvalue()


def _compute_bad_share(counts: burn.RequestCounts) -> float:
  bad = counts.failed + counts.slow + counts.incomplete
  return 100.0 * min(1.0, bad / max(1, counts.total))
