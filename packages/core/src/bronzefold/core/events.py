"""Numbered log events; docs/events.md lists them."""

from __future__ import annotations

import json
import logging
from typing import Any

import attrs


@attrs.frozen
class Event:
  """A kind of log line.

  Attributes:
    number: Number of the event in docs/events.md.
    name: Short name.
    level: Level of the ``logging`` module.
    meaning: Explanation of the event, as in docs/events.md.
  """

  number: int
  name: str
  level: int
  meaning: str

  def log(self, logger: logging.Logger, **fields: Any) -> None:
    """Logs an occurrence of the event as one JSON object.

    Args:
      logger: The module's logger.
      **fields: Details of this occurrence.
    """
    if not logger.isEnabledFor(self.level):
      return
    line = {"event": self.number, "name": self.name, **fields}
    extra = {"fields": line, "kind": self.name}
    logger.log(self.level, "%s", _LazyJson(line), extra=extra)


class _LazyJson:
  """Formats a line as JSON only when a handler needs its text."""

  def __init__(self, line: dict[str, Any]) -> None:
    self._line = line

  def __str__(self) -> str:
    return json.dumps(self._line, default=str)


CATALOGUE: dict[int, Event] = {}


def _register(number: int, name: str, level: int, meaning: str) -> Event:
  assert number not in CATALOGUE, number
  event = Event(number, name, level, meaning)
  CATALOGUE[number] = event
  return event


NODE_STARTED = _register(
  100, "node_started", logging.INFO, "The node's process has started."
)
NODE_SERVING = _register(
  101, "node_serving", logging.INFO, "The node serves callers."
)
NODE_LEAVING = _register(
  102, "node_leaving", logging.INFO, "A graceful stop has begun."
)
NODE_STOPPED = _register(
  103, "node_stopped", logging.INFO, "The node's process exits."
)
STOP_CUT = _register(
  104,
  "stop_cut",
  logging.ERROR,
  "The time limit of a graceful stop passed with requests in progress.",
)
TASK_FAILED = _register(
  105, "task_failed", logging.ERROR, "A background task failed."
)
PLATFORM_LOST = _register(
  200, "platform_lost", logging.WARNING, "The store does not answer."
)
PLATFORM_FOUND = _register(
  201, "platform_found", logging.INFO, "The store answers again."
)
LEASE_LAPSED = _register(
  202, "lease_lapsed", logging.WARNING, "The node's lease has lapsed."
)
CONFIG_APPLIED = _register(
  210,
  "config_applied",
  logging.DEBUG,
  "A configuration change is in force on this node.",
)
CONFIG_REFUSED = _register(
  211,
  "config_refused",
  logging.ERROR,
  "A key in the store has an invalid value; the previous one stays.",
)
CONTACT_CHANGED = _register(
  220,
  "contact_changed",
  logging.WARNING,
  "The node's contact with the store and its peers has changed.",
)
FRAME_REFUSED = _register(
  300,
  "frame_refused",
  logging.WARNING,
  "A frame is malformed or not from a node of the fleet.",
)
MESSAGE_SKIPPED = _register(
  301,
  "message_skipped",
  logging.WARNING,
  "A message of another node cannot be decoded; logged once a type and node.",
)
SETTINGS_RELOADED = _register(
  106, "settings_reloaded", logging.INFO, "The settings file was reloaded."
)
SETTINGS_REFUSED = _register(
  107,
  "settings_refused",
  logging.ERROR,
  "The settings file is invalid; the previous settings stay in force.",
)
UPSTREAM_CLAIMED = _register(
  400, "upstream_claimed", logging.INFO, "The node now owns an upstream."
)
UPSTREAM_RELEASED = _register(
  401, "upstream_released", logging.INFO, "The node released an upstream."
)
UPSTREAM_CHANGED = _register(
  402, "upstream_changed", logging.INFO, "An owned upstream changed state."
)
ROLLOUT_CHANGED = _register(
  500,
  "rollout_changed",
  logging.INFO,
  "The rollout of a version changed its state, its share or its reason.",
)
VERSION_SUSPECTED = _register(
  501,
  "version_suspected",
  logging.WARNING,
  "The node stopped sending traffic to a version with a regression.",
)
ADDRESS_IN_USE = _register(
  110,
  "address_in_use",
  logging.WARNING,
  "The node waits for an address on which it can't listen yet.",
)
SIGNAL_RECEIVED = _register(
  109, "signal_received", logging.INFO, "The process has received a signal."
)
ACCEPT_FAILED = _register(
  108,
  "accept_failed",
  logging.WARNING,
  "A stopping server could not accept a connection or stop listening.",
)
CLAIM_UNRESOLVED = _register(
  600,
  "claim_unresolved",
  logging.ERROR,
  "An action has an unknown outcome; an operator must check it.",
)
ROUTES_APPLIED = _register(
  700, "routes_applied", logging.INFO, "A configuration is in force."
)
INSTANCE_CHANGED = _register(
  701, "instance_changed", logging.INFO, "A registered upstream has changed."
)
ZONE_CHANGED = _register(
  702,
  "zone_changed",
  logging.INFO,
  "An availability zone was taken out of service or put back.",
)
ENTRY_REFUSED = _register(
  703, "entry_refused", logging.WARNING, "An entry in the store cannot be used."
)
NODE_CHANGED = _register(
  704,
  "node_changed",
  logging.INFO,
  "A node has registered or its registration has ended.",
)
HISTORY_GONE = _register(
  705,
  "history_gone",
  logging.WARNING,
  "The store no longer has all changes; all keys are read again.",
)
VERSION_MOVED = _register(
  706,
  "version_moved",
  logging.INFO,
  "The rollout of a version changed its state or its share.",
)
VERSION_SUSPECTED = _register(
  707,
  "version_suspected",
  logging.WARNING,
  "A version has a regression; this node sends it no more requests.",
)
RECORD_NOT_WRITTEN = _register(
  708,
  "record_not_written",
  logging.WARNING,
  "The state of a rollout was not written; another node may have done it.",
)
RATE_LIMIT_CHANGED = _register(
  709,
  "rate_limit_changed",
  logging.INFO,
  "An upstream has announced a rate limit, changed it or ended it.",
)
TOKENS_ALLOCATED = _register(
  713,
  "tokens_allocated",
  logging.INFO,
  "This node now allocates the requests to an upstream with a rate limit.",
)
STORE_LISTED = _register(
  714,
  "store_listed",
  logging.INFO,
  "All keys of the store were read.",
)
CHANGES_IGNORED = _register(
  715,
  "changes_ignored",
  logging.WARNING,
  "Entries were ignored because this node has newer ones.",
)
NODE_REMOVED = _register(
  716,
  "node_removed",
  logging.WARNING,
  "This node removed the entry of a node that was silent.",
)
UPSTREAM_CRASHED = _register(
  717,
  "upstream_crashed",
  logging.WARNING,
  "An upstream ended before it had answered a request.",
)
REQUEST_SUSPECTED = _register(
  718,
  "request_suspected",
  logging.WARNING,
  "Upstreams crashed under a request; its repeats go to one upstream first.",
)
REQUEST_QUARANTINED = _register(
  719,
  "request_quarantined",
  logging.WARNING,
  "A request that crashes upstreams is rejected for some time.",
)
REQUEST_CLEARED = _register(
  720,
  "request_cleared",
  logging.INFO,
  "An upstream has responded to a suspected request.",
)
UPSTREAMS_UNREACHABLE = _register(
  721,
  "upstreams_unreachable",
  logging.WARNING,
  "This node reaches none of the upstreams.",
)
UPSTREAMS_REACHED = _register(
  722, "upstreams_reached", logging.INFO, "This node reaches upstreams again."
)
REQUEST_RELAYED = _register(
  723,
  "request_relayed",
  logging.INFO,
  "Another node was asked to serve a request.",
)
CONNECTION_REFUSED = _register(
  725,
  "connection_refused",
  logging.WARNING,
  "A caller's connection was reset, as too many are open.",
)
ENTRIES_HELD_BACK = _register(
  726,
  "entries_held_back",
  logging.WARNING,
  "Entries of a restored store wait until all keys are read again.",
)
CONNECTION_GIVEN_UP = _register(
  727,
  "connection_given_up",
  logging.WARNING,
  "A caller's connection was aborted, as others need its memory.",
)
RESPONSE_NOT_READ = _register(
  724,
  "response_not_read",
  logging.WARNING,
  "A connection was aborted, as its caller did not read the response.",
)
REQUEST_ANSWERED = _register(
  710, "request_answered", logging.INFO, "A request has its final answer."
)
REQUEST_REFUSED = _register(
  712,
  "request_refused",
  logging.INFO,
  "A request was refused before it had a route.",
)
REQUEST_CANCELLED = _register(
  711,
  "request_cancelled",
  logging.INFO,
  "The caller disconnected before the answer.",
)
