"""Bounds the memory of all messages that a process is receiving or holds.

A bound for each connection does not bound their sum. Decisions are made here,
without a network: what a message costs, whether another one may begin, and
which one is given up when the sum is too large.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

# Objects of one header: a pair, two byte strings and a place in a list.
HEADER_OVERHEAD_BYTES = 160
MAX_FRAMING_BYTES = 64 * 1024
# Largest framing of a body, such as the lines of chunks, as a share of it.
_MAX_FRAMING_SHARE = 1 / 8
# The same for bodies of callers, who may send any chunks: the lines of a chunk
# of one byte have five.
_MAX_CHUNKING_SHARE = 8
# Larger messages leave a part of the memory to smaller ones.
_SMALL_MESSAGE_BYTES = 64 * 1024
_LARGE_MESSAGES_SHARE = 0.75
# Messages of this share of the largest one count as being as large.
_LARGEST_SHARE = 1 / 8
# Requests and responses up to this size are not given up for larger ones.
_MAX_SPARED_BYTES = 8 * 1024


def is_framing_excessive(framing_bytes: int, body_bytes: int) -> bool:
  """Returns whether a message consists of too much but its body.

  Bytes that are no body cost processor time without an end: heads, extensions
  of chunks, trailers, and the lines of very small chunks.

  Args:
    framing_bytes: Bytes received so far that are no body.
    body_bytes: Bytes of the body received so far.
  """
  return framing_bytes > MAX_FRAMING_BYTES + _MAX_FRAMING_SHARE * body_bytes


def is_chunking_excessive(framing_bytes: int, body_bytes: int) -> bool:
  """Returns whether a request has far more framing than any chunks need.

  Args:
    framing_bytes: Bytes received behind the head that are no body.
    body_bytes: Bytes of the body received so far.
  """
  return framing_bytes > MAX_FRAMING_BYTES + _MAX_CHUNKING_SHARE * body_bytes


@attrs.define(eq=False)
class Allocation:
  """Memory of one message, counted until it is released or deleted.

  Attributes:
    size_bytes: Memory that is counted.
    resized_at: Number of resizes in the budget before the last one of this.
  """

  _budget: MemoryBudget
  _on_evict: Callable[[], None] | None = None
  size_bytes: int = 0
  resized_at: int = 0

  def resize(self, size_bytes: int) -> None:
    """Sets the memory of the message; may evict this or other messages."""
    self._budget.used_bytes += size_bytes - self.size_bytes
    self.size_bytes = size_bytes
    self.resized_at = self._budget.resize_count
    self._budget.resize_count += 1
    if self._budget.used_bytes > self._budget.limit_bytes:
      self._budget.evict(self._budget.limit_bytes)

  def try_resize(self, size_bytes: int) -> bool:
    """Sets the memory of the message, for which others may be given up.

    Args:
      size_bytes: Its memory.

    Returns:
      False if it does not fit.
    """
    self.resize(size_bytes)
    limit_bytes = self._budget.get_limit(size_bytes)
    self._budget.make_room(limit_bytes)
    return self._budget.used_bytes <= limit_bytes

  def settle(self, size_bytes: int) -> bool:
    """Sets the memory of a whole message, which is not evicted any more.

    Args:
      size_bytes: Its memory.

    Returns:
      False if it does not fit; the allocation has ended then.
    """
    self._budget.growing.discard(self)
    self._on_evict = None
    has_room = self.try_resize(size_bytes)
    if not has_room:
      self.release()
    return has_room

  def release(self) -> None:
    """Ends the allocation."""
    self._budget.growing.discard(self)
    self._budget.used_bytes -= self.size_bytes
    self.size_bytes = 0

  def evict(self) -> None:
    """Ends the allocation and gives the message up."""
    on_evict = self._on_evict
    self.release()
    if on_evict is not None:
      on_evict()

  def __del__(self) -> None:
    self._budget.used_bytes -= self.size_bytes


class MemoryBudget:
  """The memory of all messages of a process.

  Attributes:
    limit_bytes: Most memory that they may take.
    used_bytes: Memory that they take.
    growing: Allocations of messages that are being received and can be given
      up.
    evicted_count: Number of messages that were given up.
    resize_count: Number of times that the size of a message was set.
  """

  def __init__(self, limit_bytes: int) -> None:
    """Creates a budget of which nothing is used.

    Args:
      limit_bytes: Most memory that all messages may take.
    """
    self.limit_bytes = limit_bytes
    self.used_bytes = 0
    self.growing: set[Allocation] = set()
    self.evicted_count = 0
    self.resize_count = 0

  def start(self, on_evict: Callable[[], None]) -> Allocation:
    """Starts the allocation of a message that is being received.

    Args:
      on_evict: Called when the message must be given up; it drops all of it.

    Returns:
      The allocation, empty.
    """
    allocation = Allocation(self, on_evict)
    self.growing.add(allocation)
    return allocation

  def hold(self) -> Allocation:
    """Returns an empty allocation of a message that is not given up."""
    return Allocation(self)

  def get_limit(self, size_bytes: int) -> float:
    """Returns how much may be used once a message of a size is held."""
    is_small = size_bytes <= _SMALL_MESSAGE_BYTES
    return self.limit_bytes * (1.0 if is_small else _LARGE_MESSAGES_SHARE)

  def make_room(self, limit_bytes: float) -> None:
    """Gives up messages until the rest fits, unless it can't be made to fit.

    Args:
      limit_bytes: Most memory that the rest may take.
    """
    if self.used_bytes <= limit_bytes:
      return
    sizes = (growing.size_bytes for growing in self.growing)
    evictable_bytes = sum(size for size in sizes if size > _MAX_SPARED_BYTES)
    if self.used_bytes - evictable_bytes <= limit_bytes:
      self.evict(limit_bytes)

  def evict(self, limit_bytes: float) -> None:
    """Gives up large messages, those without news first, until the rest fits.

    One that is much larger than others is likely to have no end, and those that
    are small belong to other requests. Among large ones, one of which nothing
    more arrives or is read is likely to stay.

    Args:
      limit_bytes: Most memory that the rest may take.
    """
    while self.used_bytes > limit_bytes and self.growing:
      largest_bytes = max(growing.size_bytes for growing in self.growing)
      if not largest_bytes:
        return
      large = (
        growing
        for growing in self.growing
        if growing.size_bytes >= _LARGEST_SHARE * largest_bytes
      )
      self.evicted_count += 1
      min(large, key=lambda growing: growing.resized_at).evict()
