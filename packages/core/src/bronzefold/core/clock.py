"""Readings of time, made only at the edges of the program."""

from __future__ import annotations

import time

Seconds = float


def read_monotonic() -> Seconds:
  """Returns the monotonic time, for durations and deadlines."""
  return time.monotonic()


def read_wall() -> Seconds:
  """Returns the time since the Unix epoch, for people and documents."""
  return time.time()
