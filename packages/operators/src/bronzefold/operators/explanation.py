"""The story of one request, told from the log lines of all nodes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any

import attrs

_LOOK_BACK_S = 10.0
_CONTEXT = frozenset(
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
    fields: Everything else.
  """

  at: float
  node: str
  name: str
  fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
  """Reads log lines; text before a line's JSON and other lines are skipped."""
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
  """Tells what became of a request, and what its nodes had just learned.

  Args:
    request: The caller's id of the request.
    texts: Log lines of any nodes in any order.

  Returns:
    The story, a line each in the order of time; empty if no line names the
    request.
  """
  lines = sorted(read_lines(texts), key=lambda line: line.at)
  own = [line for line in lines if line.fields.get("request") == request]
  if not own:
    return []
  nodes = {line.node for line in own}
  since, until = own[0].at - _LOOK_BACK_S, own[-1].at
  involved = {
    word
    for line in own
    for tries in line.fields.get("tries", [])
    for try_ in tries
    for word in try_.split(":")
  }
  story = [
    line
    for line in lines
    if line in own
    or (
      line.name in _CONTEXT
      and line.node in nodes
      and since <= line.at <= until
      and _concerns(line, involved)
    )
  ]
  return [
    f"{line.at - until:+8.3f} s {line.node} {line.name} "
    + " ".join(f"{name}={value}" for name, value in line.fields.items())
    for line in story
  ]


def _concerns(line: LogLine, involved: set[str]) -> bool:
  if line.name != "instance_changed":
    return True
  return line.fields.get("instance") in involved
