"""Traces one request through the log lines of all nodes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any

import attrs

_LOOKBACK_S = 10.0
# Events without a request id that can explain the outcome of a request.
_CONTEXT_EVENTS = frozenset(
  (
    "instance_changed",
    "routes_applied",
    "zone_changed",
    "platform_lost",
    "platform_found",
    "node_started",
    "node_leaving",
    "suppressed",
  )
)


@attrs.frozen
class LogLine:
  """A line of a node's log.

  Attributes:
    at: Seconds since the Unix epoch.
    node: Name of the node.
    name: Name of the event.
    fields: All other fields of the event.
  """

  at: float
  node: str
  name: str
  fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
  """Parses log lines.

  Args:
    texts: Lines of text. Text before the JSON of a line is skipped, as are
      lines that are not events.

  Yields:
    The parsed lines.
  """
  for text in texts:
    start = text.find("{")
    if start < 0:
      continue
    try:
      fields = json.loads(text[start:])
    except ValueError:
      continue
    if isinstance(fields, dict) and "at" in fields and "name" in fields:
      yield LogLine(
        fields.pop("at"), fields.pop("node", "?"), fields.pop("name"), fields
      )


def explain_request(request: str, texts: Iterable[str]) -> list[str]:
  """Selects the events of a request and the earlier events that affected it.

  The latter are context events of the nodes that handled the request, from
  ``_LOOKBACK_S`` before its first event until its last event.

  Args:
    request: The caller's id of the request.
    texts: Log lines of any nodes in any order.

  Returns:
    One line for each event, sorted by time, with the time relative to the
    request's last event; empty if no line has the request's id.
  """
  lines = sorted(read_lines(texts), key=lambda line: line.at)
  request_lines = [
    line for line in lines if line.fields.get("request") == request
  ]
  if not request_lines:
    return []
  nodes = {line.node for line in request_lines}
  since, until = request_lines[0].at - _LOOKBACK_S, request_lines[-1].at
  attempt_parts = {
    word
    for line in request_lines
    for attempts in line.fields.get("tries", [])
    for attempt in attempts
    for word in attempt.split(":")
  }
  selected = [
    line
    for line in lines
    if line in request_lines
    or (
      line.name in _CONTEXT_EVENTS
      and line.node in nodes
      and since <= line.at <= until
      and _is_relevant(line, attempt_parts)
    )
  ]
  return [
    f"{line.at - until:+8.3f} s {line.node} {line.name} "
    + " ".join(f"{name}={value}" for name, value in line.fields.items())
    for line in selected
  ]


def _is_relevant(line: LogLine, attempt_parts: set[str]) -> bool:
  """Returns False for changes of instances that were not attempted."""
  if line.name != "instance_changed":
    return True
  return line.fields.get("instance") in attempt_parts
