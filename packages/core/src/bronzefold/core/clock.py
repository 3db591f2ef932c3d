"""Clock readings, made only in the outer layers of the program."""

from __future__ import annotations

import time

Seconds = float


def read_monotonic() -> Seconds:
  """Returns the monotonic time, for durations and deadlines."""
  return time.monotonic()


def read_wall() -> Seconds:
  """Returns the time since the Unix epoch, for logs and documents."""
  return time.time()
