"""Records generated from a seed, and the correct results of searches."""

from __future__ import annotations

import bisect
import functools
import random
from typing import Any

KEY_SPACE_END = 1 << 32
DEPOTS = [f"depot-{number:02d}" for number in range(24)]
GASES = ("oxygen", "acetylene", "argon")


@functools.cache
def make_records(seed: int, count: int) -> tuple[tuple[int, dict], ...]:
  """Returns generated records with their keys, in the order of the keys."""
  generator = random.Random(seed)
  keys = sorted(generator.sample(range(KEY_SPACE_END), count))
  return tuple(
    (
      key,
      {
        "depot": generator.choice(DEPOTS),
        "at": generator.randrange(1_700_000_000, 1_700_600_000),
        "millilitres": generator.randrange(5_000, 400_000),
        "gas": generator.choice(GASES),
        "full": generator.random() < 0.6,
        "x": generator.randrange(100_000),
        "y": generator.randrange(100_000),
      },
    )
    for key in keys
  )


def make_shards(
  seed: int, snapshot: int, count: int, records: tuple
) -> list[dict[str, int]]:
  """Partitions the key space into shards of random bounds.

  Args:
    seed: Seed of the bounds.
    snapshot: Number of the snapshot; each snapshot has other bounds.
    count: Count of shards.
    records: Records of the snapshot, in the order of their keys.

  Returns:
    Number, bounds and count of records of each shard, as in a manifest.
  """
  generator = random.Random(f"{seed}/{snapshot}")
  bounds = sorted(generator.sample(range(1, KEY_SPACE_END), count - 1))
  keys = [key for key, _ in records]
  return [
    {
      "shard": number,
      "low": low,
      "high": high,
      "records": bisect.bisect_left(keys, high) - bisect.bisect_left(keys, low),
    }
    for number, (low, high) in enumerate(
      zip([0, *bounds], [*bounds, KEY_SPACE_END], strict=True)
    )
  ]


def slice_records(records: tuple, shards: list[dict[str, int]]) -> list[tuple]:
  """Returns the records of each shard, in the order of the shards."""
  keys = [key for key, _ in records]
  return [
    records[
      bisect.bisect_left(keys, s["low"]) : bisect.bisect_left(keys, s["high"])
    ]
    for s in shards
  ]


def evaluate(route: str, query: dict[str, Any], records: tuple) -> dict:
  """Computes the result of a search over all given records.

  Args:
    route: "range", "top" or "nearest"; any other route groups the records by
      depot.
    query: Query of the search, as its route defines it.
    records: Records with their keys.
  """
  if route == "range":
    since, until = query["since"], query["until"]
    rows = [(r["at"], k, r) for k, r in records if since <= r["at"] < until]
    return {"rows": sorted(rows)[: query.get("limit", 100)]}
  if route == "top":
    rows = [(r["millilitres"], k, r) for k, r in records]
    rows.sort(key=lambda row: (-row[0], row[1]))
    return {"rows": rows[: query.get("limit", 100)]}
  if route == "nearest":
    rows = [
      ((r["x"] - query["x"]) ** 2 + (r["y"] - query["y"]) ** 2, k, r)
      for k, r in records
      if r["full"] and r["gas"] == query["gas"]
    ]
    return {
      "rows": sorted(rows, key=lambda r: r[:2])[: query.get("limit", 100)]
    }
  groups: dict[str, dict[str, int]] = {}
  for _, record in records:
    group = groups.setdefault(record["depot"], {"count": 0, "sum": 0})
    group["count"] += 1
    group["sum"] += record["millilitres"]
  return {"groups": dict(sorted(groups.items()))}
