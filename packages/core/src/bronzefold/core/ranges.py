"""Key ranges, snapshot manifests and coverage."""

from __future__ import annotations

from collections.abc import Iterable
import itertools

import attrs
from expression import Error
from expression import Ok
from expression import Result

from bronzefold.core import defaults
from bronzefold.core import exceptions


@attrs.frozen
class KeyRange:
  """A half-open range of record keys.

  Attributes:
    low: First key.
    high: Key after the last one.
  """

  low: int
  high: int


@attrs.frozen
class ShardEntry:
  """One shard of a snapshot.

  Attributes:
    shard: Number of the shard.
    low: First key of its range.
    high: Key after the last one of its range.
    records: Count of its records.
  """

  shard: int
  low: int
  high: int
  records: int


@attrs.frozen
class Manifest:
  """All shards of one snapshot of a service.

  Attributes:
    snapshot: Number of the snapshot; a newer one has a higher number.
    taken_at: Time of the snapshot, seconds since the Unix epoch.
    shards: The shards in key order; together they cover the key space.
  """

  snapshot: int
  taken_at: float
  shards: tuple[ShardEntry, ...]

  @property
  def records(self) -> int:
    """Count of the records of the whole snapshot."""
    return sum(entry.records for entry in self.shards)


@attrs.frozen
class Coverage:
  """Part of a snapshot that an answer covers.

  Attributes:
    covered: Count of the records searched.
    total: Count of the snapshot's records, None when not known.
    missing: Key ranges that were not searched.
  """

  covered: int
  total: int | None
  missing: tuple[KeyRange, ...]

  @property
  def is_complete(self) -> bool:
    """True when every record was searched."""
    return self.total is not None and not self.missing


def check_manifest(
  manifest: Manifest,
) -> Result[Manifest, exceptions.MalformedReplyError]:
  """Checks that a manifest's shards partition the key space.

  Args:
    manifest: The manifest as an upstream sent it.

  Returns:
    The manifest, or an error that describes the first problem.
  """
  lows = [entry.low for entry in manifest.shards]
  highs = [entry.high for entry in manifest.shards]
  numbers = {entry.shard for entry in manifest.shards}
  if len(numbers) != len(manifest.shards):
    return Error(
      exceptions.MalformedReplyError("the manifest lists a shard twice")
    )
  if lows + [defaults.KEY_SPACE_END] != [0, *highs]:
    return Error(
      exceptions.MalformedReplyError(
        f"the shards of snapshot {manifest.snapshot} do not partition the keys"
      )
    )
  if any(e.records < 0 or e.low >= e.high for e in manifest.shards):
    return Error(
      exceptions.MalformedReplyError(
        f"a shard of snapshot {manifest.snapshot} has an empty range"
        " or a negative count of records"
      )
    )
  return Ok(manifest)


def join_ranges(entries: Iterable[ShardEntry]) -> tuple[KeyRange, ...]:
  """Joins the adjacent ranges of shards.

  Args:
    entries: Shards without overlaps.

  Returns:
    Ranges in key order, no two of them adjacent.
  """
  joined: list[KeyRange] = []
  for entry in sorted(entries, key=lambda entry: entry.low):
    if joined and joined[-1].high == entry.low:
      joined[-1] = KeyRange(joined[-1].low, entry.high)
    else:
      joined.append(KeyRange(entry.low, entry.high))
  return tuple(joined)


def compute_coverage(manifest: Manifest, answered: Iterable[int]) -> Coverage:
  """Computes the coverage of an answer from the shards that answered.

  Args:
    manifest: The snapshot's manifest.
    answered: Numbers of the shards whose answers are merged.

  Returns:
    The coverage by records and by key range.
  """
  answered_shards = set(answered)
  missing, covered = _partition(manifest.shards, answered_shards)
  coverage = Coverage(
    covered=sum(entry.records for entry in covered),
    total=manifest.records,
    missing=join_ranges(missing),
  )
  missing_records = sum(entry.records for entry in missing)
  assert coverage.covered + missing_records == manifest.records, "true coverage"
  return coverage


def _partition(
  entries: Iterable[ShardEntry], wanted: set[int]
) -> tuple[list[ShardEntry], list[ShardEntry]]:
  """Returns the entries outside a set of shards, and those inside it."""
  groups = {False: [], True: []}
  for entry in entries:
    groups[entry.shard in wanted].append(entry)
  return groups[False], groups[True]


def split_into_chunks(items: Iterable[int], size: int) -> list[tuple[int, ...]]:
  """Splits items into tuples of at most ``size``, in order."""
  iterator = iter(items)
  return list(iter(lambda: tuple(itertools.islice(iterator, size)), ()))
