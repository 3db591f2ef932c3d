"""Rate-limited, non-blocking JSON log lines on standard output."""

from __future__ import annotations

import collections
import json
import logging
import os
import sys
import time

MAX_LINES_PER_EVENT = 40
LIMIT_PERIOD_S = 1.0
_STDOUT = 1


class BoundedHandler(logging.Handler):
  """Writes a limited number of lines for each kind of event and second.

  Lines above the limit are dropped, and their counts are logged in a separate
  line. Lines that cannot be written without blocking are dropped and counted
  as well.

  Attributes:
    node: Name of the node, written in each line unless empty.
  """

  def __init__(self, descriptor: int = _STDOUT) -> None:
    """Creates a handler.

    Args:
      descriptor: File descriptor to write to; it is made non-blocking.
    """
    super().__init__()
    os.set_blocking(descriptor, False)
    self.node = ""
    self._descriptor = descriptor
    self._period_started_at = 0.0
    self._counts: collections.Counter[str] = collections.Counter()
    self._suppressed: collections.Counter[str] = collections.Counter()

  def emit(self, record: logging.LogRecord) -> None:
    """Writes a record unless its kind of event has reached the limit."""
    now = time.monotonic()
    if now - self._period_started_at >= LIMIT_PERIOD_S:
      self._period_started_at = now
      self._counts.clear()
      self._log_suppressed()
    kind = getattr(record, "kind", record.name)
    self._counts[kind] += 1
    if self._counts[kind] > MAX_LINES_PER_EVENT:
      self._suppressed[kind] += 1
      return
    fields = getattr(record, "fields", None)
    if fields is None:
      fields = {"name": record.name, "message": record.getMessage()}
      if record.exc_info:
        fields["error"] = repr(record.exc_info[1])
    line = {
      "at": round(record.created, 3),
      "level": record.levelname.lower(),
      **fields,
    }
    self._write(kind, line)

  def _log_suppressed(self) -> None:
    if not self._suppressed:
      return
    counts, self._suppressed = dict(self._suppressed), collections.Counter()
    line = {"at": round(time.time(), 3), "name": "suppressed", "counts": counts}
    self._write("suppressed", line)

  def _write(self, kind: str, line: dict) -> None:
    if self.node:
      line["node"] = self.node
    data = json.dumps(line, default=str, separators=(",", ":")).encode()
    try:
      os.write(self._descriptor, data + b"\n")
    except OSError:
      # The pipe is full or closed; the line is counted as suppressed.
      self._suppressed[kind] += 1


def configure_logs(level: int = logging.INFO) -> BoundedHandler:
  """Sends all log records to standard output as bounded JSON lines.

  Args:
    level: Lowest level that is logged.

  Returns:
    The handler; its ``node`` is to be set once the name is known.
  """
  handler = BoundedHandler(sys.stdout.fileno())
  logging.basicConfig(handlers=[handler], level=level, force=True)
  return handler
