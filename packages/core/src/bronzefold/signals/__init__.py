"""Signals of a process, handled from its first import to its exit.

Imports nothing but small modules of the standard library: a signal that arrives
while the others are being imported would end the process.
"""

from __future__ import annotations

from collections.abc import Callable
import signal

STOPPING = (signal.SIGTERM, signal.SIGINT)
HANDLED = (*STOPPING, signal.SIGHUP)


class SignalQueue:
  """Signals that arrived and were not yet handled, each kind once."""

  def __init__(self) -> None:
    """Creates an empty queue, which records nothing until ``capture``."""
    self._received: list[signal.Signals] = []
    self._notify: Callable[[], None] | None = None

  def capture(self) -> None:
    """Records the signals from now on, in place of their default actions."""
    for number in HANDLED:
      signal.signal(number, self._record)

  def ignore(self) -> None:
    """Ignores the signals from now on, until the process has exited.

    The interpreter would give handlers back their default actions as it exits.
    """
    for number in HANDLED:
      signal.signal(number, signal.SIG_IGN)

  def listen(self, notify: Callable[[], None] | None) -> None:
    """Sets the function to call for each signal, in the main thread.

    Args:
      notify: The function; None for none.
    """
    self._notify = notify

  def take(self) -> signal.Signals | None:
    """Removes and returns the oldest signal, None if there is none."""
    return self._received.pop(0) if self._received else None

  @property
  def has_stop(self) -> bool:
    """True if a signal that stops the process was not yet taken."""
    return any(number in STOPPING for number in self._received)

  def _record(self, number: int, _: object) -> None:
    if number not in self._received:
      self._received.append(signal.Signals(number))
    if self._notify is not None:
      self._notify()


def capture_signals() -> SignalQueue:
  """Returns a queue that records signals from now on."""
  queue = SignalQueue()
  queue.capture()
  return queue
