"""Merges of the parts of shards."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec

from bronzefold.node import merges

_ROWS = strategies.lists(
  strategies.lists(
    strategies.tuples(
      strategies.integers(-50, 50), strategies.integers(0, 1 << 32)
    ),
    max_size=20,
  ),
  max_size=6,
)


def make_part(rows: list[tuple[int, int]]) -> merges.Part:
  """Makes a part with the given sort values and keys."""
  encoded = msgspec.json.encode({"rows": [(v, k, {}) for v, k in rows]})
  return merges.decode_part("ascending", msgspec.Raw(encoded))


class MergesTest(unittest.TestCase):
  """Merged parts equal the result over all rows or groups."""

  @given(shards=_ROWS, limit=strategies.integers(1, 30))
  @settings(derandomize=True, deadline=None)
  def test_ordered_merges_equal_sort_of_all_rows(self, shards, limit):
    options = merges.MergeOptions(limit)
    parts = [make_part(rows) for rows in shards]
    all_rows = [row for rows in shards for row in rows]
    merged = merges.merge_parts("ascending", parts, options)
    found = [row[:2] for row in merged.rows]
    self.assertEqual(found, sorted(all_rows)[:limit])
    merged = merges.merge_parts("descending", parts, options)
    found = [row[:2] for row in merged.rows]
    expected = sorted(all_rows, key=lambda row: (-row[0], row[1]))[:limit]
    self.assertEqual(found, expected)

  def test_totals_of_groups_with_equal_names_add_up(self):
    encoded = [
      b'{"groups": {"a": {"count": 1, "sum": 5}}}',
      b'{"groups": {"b": {"count": 2, "sum": 1}, "a": {"count": 3, "sum": 2}}}',
    ]
    parts = [merges.decode_part("groups", msgspec.Raw(e)) for e in encoded]
    merged = merges.merge_parts("groups", parts, merges.MergeOptions())
    self.assertEqual(
      merged.groups,
      {"a": merges.GroupTotals(4, 7), "b": merges.GroupTotals(2, 1)},
    )

  def test_part_of_wrong_type_is_rejected(self):
    for part in (b"[]", b'{"rows": [[1]]}', b'{"rows": [["x", 1, {}]]}'):
      with self.assertRaises(msgspec.MsgspecError):
        merges.decode_part("ascending", msgspec.Raw(part))


if __name__ == "__main__":
  unittest.main()
