"""Merge of the parts of a search response."""

from __future__ import annotations

from collections.abc import Iterable
import heapq
import itertools

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
  """Splits the body of a part into records; drops a trailing fragment."""
  end = len(body) - len(body) % RECORD_BYTES
  return [
    body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)
  ]


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
