"""Registry of functions that merge the parts of shards.

A part is the partial result of one shard. Its JSON is
``{"rows": [[sort value, key, record], ...]}`` for the ordered merges and
``{"groups": {name: {"count": n, "sum": s}}}`` for the merge of groups.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import attrs
import msgspec

from bronzefold.core import documents

DEFAULT_ROW_LIMIT = 100
MAX_ROW_LIMIT = 10_000


@attrs.frozen
class MergeOptions:
  """Options of a query that control its merge.

  Attributes:
    limit: Largest count of rows in the result.
  """

  limit: int = DEFAULT_ROW_LIMIT


@attrs.frozen
class RowsPart:
  """Ordered rows of one shard: sort value, key and record of each."""

  rows: tuple[tuple[float | int, int, msgspec.Raw], ...]


@attrs.frozen
class GroupTotals:
  """Totals of one group."""

  count: int
  sum: int


@attrs.frozen
class GroupsPart:
  """Groups of one shard."""

  groups: dict[str, GroupTotals]


Part = RowsPart | GroupsPart
Merge = Callable[[Sequence[Part], MergeOptions], Part]


@attrs.frozen
class _Registration:
  part_type: type[Part]
  merge: Merge


_MERGES: dict[str, _Registration] = {}


def register_merge(
  name: str, part_type: type[Part]
) -> Callable[[Merge], Merge]:
  """Registers a merge under the name that documents use.

  Args:
    name: Name of the merge.
    part_type: Type of the parts that the function merges.

  Returns:
    A decorator for the merge function.
  """
  assert name in documents.MERGES, name

  def decorate(merge: Merge) -> Merge:
    _MERGES[name] = _Registration(part_type, merge)
    return merge

  return decorate


def decode_part(name: str, part: msgspec.Raw) -> Part:
  """Decodes the part of one shard.

  Args:
    name: Name of the merge.
    part: The part as JSON.

  Returns:
    The decoded part.

  Raises:
    msgspec.MsgspecError: The part is not of the merge's part type.
  """
  return msgspec.json.decode(part, type=_MERGES[name].part_type)


def merge_parts(
  name: str, parts: Sequence[Part], options: MergeOptions
) -> Part:
  """Merges the parts of several shards.

  Args:
    name: Name of the merge.
    parts: Parts of the type that the merge is registered for.
    options: Options of the query.

  Returns:
    The merged result, which has the same type as a part.
  """
  return _MERGES[name].merge(parts, options)


@register_merge("ascending", RowsPart)
def merge_ascending(parts: Sequence[RowsPart], options: MergeOptions) -> Part:
  """Keeps the rows with the lowest sort values."""
  rows = sorted(_chain_rows(parts), key=lambda row: (row[0], row[1]))
  return RowsPart(tuple(rows[: options.limit]))


@register_merge("descending", RowsPart)
def merge_descending(parts: Sequence[RowsPart], options: MergeOptions) -> Part:
  """Keeps the rows with the highest sort values."""
  rows = sorted(_chain_rows(parts), key=lambda row: (-row[0], row[1]))
  return RowsPart(tuple(rows[: options.limit]))


@register_merge("groups", GroupsPart)
def merge_groups(parts: Sequence[GroupsPart], _: MergeOptions) -> Part:
  """Adds up the totals of groups with equal names."""
  totals: dict[str, GroupTotals] = {}
  for name, added in itertools.chain.from_iterable(
    part.groups.items() for part in parts
  ):
    previous = totals.get(name, GroupTotals(0, 0))
    totals[name] = GroupTotals(
      previous.count + added.count, previous.sum + added.sum
    )
  return GroupsPart(dict(sorted(totals.items())))


def _chain_rows(
  parts: Sequence[RowsPart],
) -> Iterable[tuple[float | int, int, msgspec.Raw]]:
  return itertools.chain.from_iterable(part.rows for part in parts)
