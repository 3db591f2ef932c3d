"""Service documents, which operators write and nodes apply."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import re

import attrs
from expression import Error
from expression import Ok
from expression import Result

from bronzefold.core import conversion
from bronzefold.core import defaults
from bronzefold.core import exceptions

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_IP_PORT = re.compile(r"[0-9.]+:[0-9]{1,5}")

ROUTE_KINDS = ("search", "action")
ZONE_STATES = ("in", "out")
MERGES = ("ascending", "descending", "groups")


@attrs.frozen
class Route:
  """A route of a service.

  Attributes:
    kind: "search", or "action" for a request that is not idempotent.
    merge: Name of the merge of a search's partial results.
    priority: Requests with a lower number run first.
  """

  kind: str
  merge: str = "ascending"
  priority: int = 1


@attrs.frozen
class UpstreamEntry:
  """An upstream of a service.

  Attributes:
    name: Name, unique among all services.
    address: IP number and port.
    zone: Its availability zone.
    version: The version that it runs.
    leaving: True when it must get no new requests.
  """

  name: str
  address: str
  zone: str
  version: str
  leaving: bool = False


@attrs.frozen
class Version:
  """A version of a service's upstreams.

  Attributes:
    share: Share of the traffic at the end of its rollout, 0 to 1.
    by: Time by which it should have its share, seconds since the Unix epoch;
      None for a version that is not being rolled out.
    start: Time at which its rollout starts, seconds since the Unix epoch.
  """

  share: float
  by: float | None = None
  start: float | None = None


@attrs.frozen
class Limits:
  """Limits of a service.

  Attributes:
    slots: Requests that one upstream can run at once.
    connections: Connections that one upstream accepts.
    cold_slots: Requests that a cold upstream can run at once.
    warm_up_s: Shortest time for which an upstream counts as cold.
    deadline_ms: Deadline of a request that does not set one.
    shards_per_request: Most shards requested in one exchange.
    hedge_share: Hedges allowed as a share of exchanges.
    retry_share: Retries allowed as a share of successes.
  """

  slots: int = 2
  connections: int = 25
  cold_slots: int = 1
  warm_up_s: float = defaults.WARM_UP_S
  deadline_ms: int = defaults.DEADLINE_MS
  shards_per_request: int = defaults.MAX_SHARDS_PER_REQUEST
  hedge_share: float = defaults.HEDGE_SHARE
  retry_share: float = defaults.RETRY_SHARE


@attrs.frozen
class Objectives:
  """Service-level objectives.

  Attributes:
    latency_ms: Longest duration of a request that counts as fast.
    latency_share: Share of requests that should be fast.
    coverage_share: Share of searches that should be complete.
    availability_share: Share of requests that should not fail.
  """

  latency_ms: int = defaults.DEADLINE_MS
  latency_share: float = 0.99
  coverage_share: float = 0.999
  availability_share: float = 0.999


@attrs.frozen
class Document:
  """The document of one service.

  Attributes:
    service: Name of the service.
    owner: Team that is responsible for the document.
    routes: Routes by name.
    upstreams: All upstreams of all versions.
    versions: Versions by name.
    zones: State of each availability zone, "in" or "out".
    limits: Limits of the service.
    objectives: Service-level objectives.
  """

  service: str
  owner: str
  routes: dict[str, Route]
  upstreams: tuple[UpstreamEntry, ...]
  versions: dict[str, Version]
  zones: dict[str, str]
  limits: Limits = attrs.field(factory=Limits)
  objectives: Objectives = attrs.field(factory=Objectives)


def read_document(
  text: str, source: str
) -> Result[Document, exceptions.DocumentError]:
  """Reads and checks a document.

  Args:
    text: JSON with comments.
    source: File name or key, for error messages.

  Returns:
    The document, or an error that lists every problem with its path.
  """
  try:
    document = conversion.structure(text, Document)
  except conversion.StructureError as error:
    return Error(exceptions.DocumentError(f"{source}: {error}"))
  problems = [f"{source}: {p}" for p in _find_problems(document)]
  if problems:
    return Error(exceptions.DocumentError("\n".join(problems)))
  return Ok(document)


@attrs.frozen
class DocumentRecord:
  """A document as stored, with the change that wrote it.

  Attributes:
    document: The document.
    operation: Id of the change.
    author: Who made the change.
    at: Time of the change, seconds since the Unix epoch.
  """

  document: Document
  operation: str
  author: str
  at: float


def read_document_record(
  text: str, source: str
) -> Result[DocumentRecord, exceptions.DocumentError]:
  """Reads and checks a stored document.

  Args:
    text: Value in the store.
    source: Key in the store, for error messages.

  Returns:
    The record, or an error that lists every problem with its path.
  """
  try:
    record = conversion.structure(text, DocumentRecord)
  except conversion.StructureError as error:
    return Error(exceptions.DocumentError(f"{source}: {error}"))
  problems = [f"{source}: {p}" for p in _find_problems(record.document)]
  if problems:
    return Error(exceptions.DocumentError("\n".join(problems)))
  return Ok(record)


def write_document_record(record: DocumentRecord) -> str:
  """Writes a record as JSON, its form in the store."""
  return conversion.unstructure(record)


def write_document(document: Document) -> str:
  """Writes a document as JSON."""
  return conversion.unstructure(document)


_Check = Callable[[Document], Iterable[str]]
_CHECKS: list[_Check] = []


def register_check(check: _Check) -> _Check:
  """Adds a check that every document must pass."""
  _CHECKS.append(check)
  return check


def _find_problems(document: Document) -> list[str]:
  return [problem for check in _CHECKS for problem in check(document)]


@register_check
def _check_names(document: Document) -> Iterable[str]:
  for path, name in _list_names(document):
    if not _NAME.fullmatch(name):
      yield f"$.{path}: {name!r} is not a name of a-z, 0-9, '.' and '-'"


def _list_names(document: Document) -> list[tuple[str, str]]:
  return [
    ("service", document.service),
    *((f"routes.{name}", name) for name in document.routes),
    *((f"versions.{name}", name) for name in document.versions),
    *((f"zones.{name}", name) for name in document.zones),
    *(
      (f"upstreams[{index}].name", entry.name)
      for index, entry in enumerate(document.upstreams)
    ),
  ]


@register_check
def _check_upstreams(document: Document) -> Iterable[str]:
  seen_names: set[str] = set()
  seen_addresses: set[str] = set()
  for index, entry in enumerate(document.upstreams):
    path = f"$.upstreams[{index}]"
    if entry.name in seen_names:
      yield f"{path}.name: {entry.name!r} is used twice"
    if entry.address in seen_addresses:
      yield f"{path}.address: {entry.address!r} is used twice"
    if not _IP_PORT.fullmatch(entry.address):
      yield f"{path}.address: {entry.address!r} is not IP:port"
    if entry.version not in document.versions:
      yield f"{path}.version: version {entry.version!r} does not exist"
    if entry.zone not in document.zones:
      yield f"{path}.zone: availability zone {entry.zone!r} does not exist"
    seen_names.add(entry.name)
    seen_addresses.add(entry.address)


@register_check
def _check_zones(document: Document) -> Iterable[str]:
  for zone, state in document.zones.items():
    if state not in ZONE_STATES:
      yield f"$.zones.{zone}: {state!r} is not one of {', '.join(ZONE_STATES)}"


@register_check
def _check_routes(document: Document) -> Iterable[str]:
  if not document.routes:
    yield "$.routes: is empty"
  for name, route in document.routes.items():
    path = f"$.routes.{name}"
    if route.kind not in ROUTE_KINDS:
      kinds = ", ".join(ROUTE_KINDS)
      yield f"{path}.kind: {route.kind!r} is not one of {kinds}"
    if route.merge not in MERGES:
      yield f"{path}.merge: {route.merge!r} is not one of {', '.join(MERGES)}"
    if not 0 <= route.priority <= 9:
      yield f"{path}.priority: {route.priority} is not between 0 and 9"


@register_check
def _check_versions(document: Document) -> Iterable[str]:
  if not document.versions:
    yield "$.versions: is empty"
  for name, version in document.versions.items():
    path = f"$.versions.{name}"
    if not 0.0 <= version.share <= 1.0:
      yield f"{path}.share: {version.share} is not between 0 and 1"
    if (version.by is None) != (version.start is None):
      yield f"{path}: 'start' and 'by' must be set together"
    elif version.by is not None and version.by <= version.start:
      yield f"{path}.by: is not after 'start'"
  total = sum(version.share for version in document.versions.values())
  if document.versions and abs(total - 1.0) > 1e-6:
    yield f"$.versions: the shares add up to {total}, not to 1"
  if document.versions and all(
    version.by is not None for version in document.versions.values()
  ):
    yield "$.versions: at least one version must have no 'by'"


@register_check
def _check_limits(document: Document) -> Iterable[str]:
  limits = document.limits
  bounds = {
    "slots": (1, 1024),
    "connections": (1, 10_000),
    "cold_slots": (1, limits.slots),
    "warm_up_s": (0.0, 3600.0),
    "deadline_ms": (1, defaults.MAX_DEADLINE_MS),
    "shards_per_request": (1, 1024),
    "hedge_share": (0.0, 1.0),
    "retry_share": (0.0, 1.0),
  }
  for name, (low, high) in bounds.items():
    if not low <= getattr(limits, name) <= high:
      yield f"$.limits.{name}: is not between {low} and {high}"
  if limits.connections < limits.slots:
    yield "$.limits.connections: is less than 'slots'"


@register_check
def _check_objectives(document: Document) -> Iterable[str]:
  objectives = document.objectives
  if objectives.latency_ms < 1:
    yield "$.objectives.latency_ms: is less than 1"
  for name in ("latency_share", "coverage_share", "availability_share"):
    if not 0.0 < getattr(objectives, name) < 1.0:
      yield f"$.objectives.{name}: is not between 0 and 1"
