"""Messages of the protocol towards callers."""

from __future__ import annotations

import attrs
import msgspec


@attrs.frozen
class SearchBody:
  """Body of a search.

  Attributes:
    query: The query, passed on to upstreams.
    deadline_ms: Time for the whole search; None for the service's own.
    complete: True when only a complete answer will do.
  """

  query: msgspec.Raw
  deadline_ms: int | None = None
  complete: bool = False


@attrs.frozen
class CoverageBody:
  """What an answer covers.

  Attributes:
    covered: Count of the records searched.
    total: Count of the snapshot's records, None when not known.
    missing: Key ranges that were not searched, each low and high.
  """

  covered: int
  total: int | None
  missing: tuple[tuple[int, int], ...]


@attrs.frozen
class SearchReply:
  """Answer to a search.

  Attributes:
    request: Id of the request.
    snapshot: Number of the snapshot.
    taken_at: Time of the snapshot, seconds since the Unix epoch.
    complete: True when every record was searched.
    coverage: What the answer covers.
    hedges: Hedges sent for it.
    retries: Retries sent for it.
    result: The merged result.
  """

  request: str
  snapshot: int
  taken_at: float
  complete: bool
  coverage: CoverageBody
  hedges: int
  retries: int
  result: msgspec.Raw


@attrs.frozen
class ActionReply:
  """Outcome of an action that ran.

  Attributes:
    request: Id of the request.
    outcome: "ran".
    repeated: True when an earlier attempt with the same key ran it.
    result: The upstream's reply.
  """

  request: str
  outcome: str
  repeated: bool
  result: msgspec.Raw


@attrs.frozen
class ErrorReply:
  """Body of every error.

  Attributes:
    request: Id of the request.
    error: Code of the error.
    outcome: "not_run" or "unknown".
    detail: Explanation for a person.
  """

  request: str
  error: str
  outcome: str
  detail: str


@attrs.frozen
class Address:
  """A node that callers may use.

  Attributes:
    address: IP:port.
    zone: Its availability zone.
  """

  address: str
  zone: str


@attrs.frozen
class AddressesReply:
  """Answer to a caller that asks which nodes to use.

  Attributes:
    addresses: The nodes, those of the caller's availability zone first.
    keep_s: How long the answer may be kept.
  """

  addresses: tuple[Address, ...]
  keep_s: float
