"""Merges of partial results."""

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
  """Decodes a part with the given sort values and keys."""
  encoded = msgspec.json.encode({"rows": [(v, k, {}) for v, k in rows]})
  return merges.decode_part("ascending", msgspec.Raw(encoded))


class MergesTest(unittest.TestCase):
  """Merges equal one sort of everything."""

  @given(shards=_ROWS, limit=strategies.integers(1, 30))
  @settings(derandomize=True, deadline=None)
  def test_ordered_merges(self, shards, limit):
    options = merges.MergeOptions(limit)
    parts = [make_part(rows) for rows in shards]
    together = [row for rows in shards for row in rows]
    merged = merges.merge_parts("ascending", parts, options)
    found = [row[:2] for row in merged.rows]
    self.assertEqual(found, sorted(together)[:limit])
    merged = merges.merge_parts("descending", parts, options)
    found = [row[:2] for row in merged.rows]
    wanted = sorted(together, key=lambda row: (-row[0], row[1]))[:limit]
    self.assertEqual(found, wanted)

  def test_groups_add_up(self):
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

  def test_part_of_another_shape_is_refused(self):
    for part in (b"[]", b'{"rows": [[1]]}', b'{"rows": [["x", 1, {}]]}'):
      with self.assertRaises(msgspec.MsgspecError):
        merges.decode_part("ascending", msgspec.Raw(part))


if __name__ == "__main__":
  unittest.main()
