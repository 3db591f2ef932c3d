"""Messages of the protocol between bronzefold and upstreams."""

from __future__ import annotations

import math

import attrs
import msgspec

REQUEST_ID_HEADER = b"x-request-id"
INSTANCE_HEADER = b"x-instance"
NOT_RUN_HEADER = b"x-not-run"
DRAINING_HEADER = b"x-draining"
RATE_LIMIT_HEADER = b"x-rate-limit"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"x-deadline-ms"


def read_rate_limit(value: bytes | None) -> float | None:
  """Reads a rate limit in requests per second from a header's value.

  Args:
    value: The value; None if the header is absent.

  Returns:
    The limit; None if it is absent or not a rate.
  """
  try:
    rate_limit_per_s = float(value) if value is not None else math.nan
  except ValueError:
    return None
  is_rate = math.isfinite(rate_limit_per_s) and rate_limit_per_s >= 0.0
  return rate_limit_per_s if is_rate else None


@attrs.frozen
class SnapshotReport:
  """A snapshot that an upstream serves, as it reports it.

  Attributes:
    snapshot: Number of the snapshot.
    shards: Numbers of the snapshot's shards that the upstream serves.
  """

  snapshot: int
  shards: tuple[int, ...]


@attrs.frozen
class StatusReport:
  """The status that an upstream reports; it may be outdated or wrong.

  Attributes:
    instance: Id of the upstream's process; a restarted process has a new id.
    state: "warm", "cold" or "draining".
    load: Count of the requests queued and in progress at the upstream.
    snapshots: Snapshots that the upstream serves.
  """

  instance: str
  state: str
  load: int
  snapshots: tuple[SnapshotReport, ...]


@attrs.frozen
class SearchBody:
  """Body of a search request on some shards of one snapshot.

  Attributes:
    request: Id of the exchange.
    route: Name of the service's route.
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
    high: End of the range searched, exclusive.
    records: Count of the records searched.
    result: The partial result, as JSON in the shape that the route's merge
      defines.
  """

  shard: int
  low: int
  high: int
  records: int
  result: msgspec.Raw


@attrs.frozen
class SearchReply:
  """Body of the response to a search request.

  Attributes:
    request: Id of the exchange.
    snapshot: Number of the snapshot that was searched.
    results: One result for each requested shard.
  """

  request: str
  snapshot: int
  results: tuple[ShardResult, ...]
