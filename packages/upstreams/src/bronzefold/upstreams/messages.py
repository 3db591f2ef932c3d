"""Messages of the protocol between bronzefold and upstreams."""

from __future__ import annotations

import attrs
import msgspec

REQUEST_ID_HEADER = b"x-request-id"
INSTANCE_HEADER = b"x-instance"
NOT_RUN_HEADER = b"x-not-run"
DRAINING_HEADER = b"x-draining"
KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"x-deadline-ms"


@attrs.frozen
class SnapshotReport:
  """A snapshot that an upstream serves.

  Attributes:
    snapshot: Number of the snapshot.
    shards: Numbers of the shards of it that the upstream holds.
  """

  snapshot: int
  shards: tuple[int, ...]


@attrs.frozen
class StatusReport:
  """What an upstream says of itself; it may lag or mislead.

  Attributes:
    instance: Changes whenever the upstream's process starts.
    state: "warm", "cold" or "draining".
    load: Requests that it holds.
    snapshots: Snapshots that it serves.
  """

  instance: str
  state: str
  load: int
  snapshots: tuple[SnapshotReport, ...]


@attrs.frozen
class SearchBody:
  """Body of a search on some shards of one snapshot.

  Attributes:
    request: Id of this exchange.
    route: Name of the route.
    snapshot: Number of the snapshot.
    shards: Numbers of the shards.
    query: The caller's query, as JSON.
  """

  request: str
  route: str
  snapshot: int
  shards: tuple[int, ...]
  query: msgspec.Raw


@attrs.frozen
class ShardResult:
  """The partial result of one shard.

  Attributes:
    shard: Number of the shard.
    low: First key of the range searched.
    high: Key after the last one of the range searched.
    records: Count of the records searched.
    result: The part itself, as JSON; its shape follows the route's merge.
  """

  shard: int
  low: int
  high: int
  records: int
  result: msgspec.Raw


@attrs.frozen
class SearchReply:
  """Reply to a search.

  Attributes:
    request: Id of the exchange that it answers.
    snapshot: Number of the snapshot that was searched.
    results: One result for each shard asked for.
  """

  request: str
  snapshot: int
  results: tuple[ShardResult, ...]
