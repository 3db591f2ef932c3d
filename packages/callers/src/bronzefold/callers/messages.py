"""Messages of the protocol between callers and bronzefold."""

from __future__ import annotations

import attrs
import msgspec


@attrs.frozen
class SearchBody:
  """Body of a search request.

  Attributes:
    query: The query, forwarded to upstreams as it is.
    deadline_ms: Time limit of the search in milliseconds, None for the
      default of the service.
    complete: True if an incomplete result must be reported as an error.
  """

  query: msgspec.Raw
  deadline_ms: int | None = None
  complete: bool = False


@attrs.frozen
class CoverageBody:
  """The records that a search result covers.

  Attributes:
    covered: Count of the records searched.
    total: Count of the snapshot's records, None if not known.
    missing: Key ranges that were not searched, each with its low and high key.
  """

  covered: int
  total: int | None
  missing: tuple[tuple[int, int], ...]


@attrs.frozen
class SearchReply:
  """Body of the response to a search.

  Attributes:
    request: Id of the request.
    snapshot: Number of the snapshot.
    taken_at: Time of the snapshot in seconds since the Unix epoch.
    complete: True if every record was searched.
    coverage: The records that the result covers.
    hedges: Count of the hedges sent for the search.
    retries: Count of the retries sent for the search.
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
  """Body of the response to an action that ran.

  Attributes:
    request: Id of the request.
    outcome: "ran".
    repeated: True if an earlier attempt with the same idempotency key ran the
      action.
    result: Body of the upstream's response.
  """

  request: str
  outcome: str
  repeated: bool
  result: msgspec.Raw


@attrs.frozen
class ErrorReply:
  """Body of every error response.

  Attributes:
    request: Id of the request.
    error: Code of the error.
    outcome: "not_run" if the request certainly did not run, else "unknown".
    detail: Explanation in plain text.
  """

  request: str
  error: str
  outcome: str
  detail: str


@attrs.frozen
class Address:
  """A node to which callers may send requests.

  Attributes:
    address: IP:port of the node.
    zone: Availability zone of the node.
  """

  address: str
  zone: str


@attrs.frozen
class AddressesReply:
  """Body of the response that lists the nodes for callers.

  Attributes:
    addresses: The nodes, those of the caller's availability zone first.
    keep_s: Time for which callers may cache the list, in seconds.
  """

  addresses: tuple[Address, ...]
  keep_s: float
