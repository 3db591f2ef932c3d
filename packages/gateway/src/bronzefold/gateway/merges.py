"""Merge of the parts of a search."""

from __future__ import annotations

from collections.abc import Iterable
import heapq
import itertools

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
  """Splits a part into records; a shorter remainder is none."""
  end = len(body) - len(body) % RECORD_BYTES
  return [
    body[start : start + RECORD_BYTES] for start in range(0, end, RECORD_BYTES)
  ]


def merge_parts(bodies: Iterable[bytes], top_k: int) -> bytes:
  """Returns the greatest records of all parts, greatest first.

  Args:
    bodies: Bodies of the parts; equal records all count.
    top_k: Most records to return.
  """
  records = itertools.chain.from_iterable(map(split_records, bodies))
  return b"".join(heapq.nlargest(top_k, records))
