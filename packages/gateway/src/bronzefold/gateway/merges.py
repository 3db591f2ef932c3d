"""Merge of the parts of a search response."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import itertools

RECORD_BYTES = 16


def split_records(body: bytes) -> Iterator[bytes]:
  """Yields the records of a part's body; leaves out a trailing fragment."""
  end = len(body) - len(body) % RECORD_BYTES
  for start in range(0, end, RECORD_BYTES):
    yield body[start : start + RECORD_BYTES]


def merge_parts(bodies: Iterable[bytes], top_k: int) -> bytes:
  """Merges the parts of a search.

  Args:
    bodies: Bodies of the parts; duplicate records are kept.
    top_k: Maximum number of records to return.

  Returns:
    The greatest records of all parts, in descending order.
  """
  records = itertools.chain.from_iterable(map(split_records, bodies))
  return b"".join(heapq.nlargest(top_k, records))
