"""Traffic of the versions of a service, and what was observed of them."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import attrs
import xxhash

from bronzefold.core import budgets
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.node import configuration
from bronzefold.node import selection
from bronzefold.node import significance
from bronzefold.node import status

MOVING = "moving"
DONE = "done"
TAKEN_BACK = "taken_back"

_HASH_RANGE = float(1 << 64)
_SLOW_FACTOR = 2.0
_SLOW_QUANTILE = 0.95
_MIN_FAILED_EXCESS = 0.01
_MIN_SLOW_EXCESS = 0.10
_MIN_HITS = 3


@attrs.frozen
class Move:
  """One move of one version; a document that changes its times starts anew."""

  service: str
  version: str
  start: float
  by: float


@attrs.define
class Counts:
  """Exchanges of a version on one route.

  Attributes:
    good: Exchanges that ended well in usual time.
    failed: Exchanges that failed.
    slow: Exchanges that ended well but took unusually long.
  """

  good: int = 0
  failed: int = 0
  slow: int = 0

  @property
  def total(self) -> int:
    """Count of all exchanges."""
    return self.good + self.failed + self.slow

  def add(self, other: Counts) -> None:
    """Adds the counts of another one."""
    self.good += other.good
    self.failed += other.failed
    self.slow += other.slow


class Evidence:
  """Counts of the last seconds for each version and route of a service."""

  def __init__(self, window_s: Seconds = defaults.ROLLOUT_WINDOW_S) -> None:
    """Creates evidence without counts.

    Args:
      window_s: Age at which counts are dropped.
    """
    self._window_s = window_s
    self._buckets: collections.deque[tuple[Seconds, dict]] = collections.deque()

  def record(
    self, version: str, route: str, counts: Counts, now: Seconds
  ) -> None:
    """Adds counts."""
    bucket_s = self._window_s / 10
    if not self._buckets or now - self._buckets[-1][0] >= bucket_s:
      self._buckets.append((now, {}))
    bucket = self._buckets[-1][1]
    bucket.setdefault((version, route), Counts()).add(counts)

  def sum_counts(self, version: str, route: str, now: Seconds) -> Counts:
    """Adds up the counts of a version on a route."""
    while self._buckets and now - self._buckets[0][0] > self._window_s:
      self._buckets.popleft()
    total = Counts()
    for _, bucket in self._buckets:
      counts = bucket.get((version, route))
      if counts is not None:
        total.add(counts)
    return total

  def find_fault(
    self,
    version: str,
    stable: Iterable[str],
    routes: Iterable[str],
    now: Seconds,
  ) -> str | None:
    """Compares a version with the stable ones on each route.

    Args:
      version: The version that moves.
      stable: Names of the versions to compare it with.
      routes: Names of the routes.
      now: The monotonic time.

    Returns:
      What is wrong with the version, None if nothing is.
    """
    stable_versions = tuple(stable)
    for route in routes:
      suspect = self.sum_counts(version, route, now)
      base = Counts()
      for name in stable_versions:
        base.add(self.sum_counts(name, route, now))
      fault = _compare(suspect, base)
      if fault is not None:
        return f"route {route}: {fault}"
    return None


def _compare(suspect: Counts, base: Counts) -> str | None:
  failed = _is_excess(
    suspect.failed, suspect.total, base.failed, base.total, _MIN_FAILED_EXCESS
  )
  if failed:
    return f"{suspect.failed} of {suspect.total} exchanges failed"
  slow = _is_excess(
    suspect.slow, suspect.total, base.slow, base.total, _MIN_SLOW_EXCESS
  )
  if slow:
    return f"{suspect.slow} of {suspect.total} exchanges were slow"
  return None


def _is_excess(
  hits: int, total: int, base_hits: int, base_total: int, min_excess: float
) -> bool:
  if hits < _MIN_HITS or not base_total:
    return False
  if hits / total - base_hits / base_total < min_excess:
    return False
  probability = significance.compute_excess_probability(
    hits, total, base_hits, base_total
  )
  return probability < defaults.ROLLOUT_SIGNIFICANCE


class VersionTraffic:
  """Chooses a version for each request and watches the moving ones."""

  def __init__(
    self,
    config: configuration.Configuration,
    on_suspicion: Callable[[Move, str], None],
  ) -> None:
    """Creates traffic without observations.

    Args:
      config: The configuration in force.
      on_suspicion: Called with a move and the fault this node has found.
    """
    self._config = config
    self._on_suspicion = on_suspicion
    self._suspected: dict[Move, str] = {}
    self._evidence: dict[str, Evidence] = {}
    self._usual: dict[tuple[str, str], budgets.LatencyQuantile] = {}
    self._unsent: dict[tuple[str, str, str], Counts] = {}

  def list_moves(self, document: documents.Document) -> list[Move]:
    """Lists the moves that a document asks for."""
    return [
      Move(document.service, name, version.start, version.by)
      for name, version in document.versions.items()
      if version.by is not None
    ]

  def get_record(self, move: Move) -> configuration.RolloutRecord | None:
    """Returns the record of exactly this move, None if there is none."""
    record = self._config.rollouts.get(move.service)
    if record is None or record.version != move.version:
      return None
    if (record.start, record.by) != (move.start, move.by):
      return None
    return record

  def get_state(self, move: Move) -> str:
    """Returns the state of a move as this node acts on it."""
    record = self.get_record(move)
    if move in self._suspected:
      return TAKEN_BACK
    return record.state if record else MOVING

  def is_suspected(self, service: str, version: str) -> bool:
    """True when a version must get no traffic."""
    document = self._config.documents.get(service)
    if document is None:
      return False
    return any(
      move.version == version and self.get_state(move) == TAKEN_BACK
      for move in self.list_moves(document)
    )

  def get_stable_versions(self, document: documents.Document) -> set[str]:
    """Returns the versions that may carry any traffic."""
    unstable = {
      move.version
      for move in self.list_moves(document)
      if self.get_state(move) != DONE
    }
    return set(document.versions) - unstable

  def get_shares(self, document: documents.Document) -> dict[str, float]:
    """Returns the share of the traffic of each version; they add up to 1."""
    moves = {move.version: move for move in self.list_moves(document)}
    shares = {name: self._get_moved_share(m) for name, m in moves.items()}
    in_place = {
      name: version.share
      for name, version in document.versions.items()
      if name not in moves
    }
    rest = max(0.0, 1.0 - sum(shares.values()))
    weight = sum(in_place.values())
    for name, share in in_place.items():
      part = share / weight if weight else 1.0 / len(in_place)
      shares[name] = rest * part
    return shares

  def choose_version(self, document: documents.Document, request: str) -> str:
    """Chooses the version for a request, by a hash of its id.

    Args:
      document: The service's document.
      request: Id of the request; every node chooses the same for it.

    Returns:
      Name of the version.
    """
    key = f"{document.service}/{request}".encode()
    point = xxhash.xxh3_64_intdigest(key) / _HASH_RANGE
    shares = self.get_shares(document)
    reached = 0.0
    for name in sorted(shares):
      reached += shares[name]
      if point < reached:
        return name
    return max(shares, key=shares.__getitem__)

  def narrow(
    self,
    document: documents.Document,
    usable: Sequence[selection.Usable],
    version: str | None,
  ) -> list[selection.Usable]:
    """Keeps the upstreams whose version should serve a request.

    Args:
      document: The service's document.
      usable: The upstreams that may serve it; at least one.
      version: The version chosen for it, None if any stable one will do.

    Returns:
      Those of the version, else those of stable versions, else all.
    """
    stable = self.get_stable_versions(document)
    chosen = [u for u in usable if u.entry.version == version]
    chosen = chosen or [u for u in usable if u.entry.version in stable]
    return chosen or list(usable)

  def observe(
    self,
    document: documents.Document,
    version: str,
    route: str,
    error: exceptions.BronzefoldError | None,
    took_s: Seconds,
    now: Seconds,
  ) -> None:
    """Takes note of an exchange while a version of the service moves.

    Args:
      document: The service's document.
      version: Version of the upstream.
      route: Name of the route.
      error: The error, None if the exchange ended well.
      took_s: How long the upstream took, 0 when that says nothing.
      now: The monotonic time.
    """
    moves = self.list_moves(document)
    if not moves or not _is_evidence(error):
      return
    service = document.service
    stable = self.get_stable_versions(document)
    slow = self._is_slow(service, route, version in stable, error, took_s)
    counts = Counts(
      good=int(error is None and not slow),
      failed=int(error is not None),
      slow=int(error is None and slow),
    )
    key = (service, version, route)
    self._unsent.setdefault(key, Counts()).add(counts)
    self.record_counts(service, version, route, counts, now)
    if counts.good == 0 and version not in stable:
      self._test(document, version, now)

  def record_counts(
    self, service: str, version: str, route: str, counts: Counts, now: Seconds
  ) -> None:
    """Adds counts to this node's evidence."""
    evidence = self._evidence.setdefault(service, Evidence())
    evidence.record(version, route, counts, now)

  def get_evidence(self, service: str) -> Evidence:
    """Returns the evidence about a service's versions."""
    return self._evidence.setdefault(service, Evidence())

  def take_unsent(self) -> dict[tuple[str, str, str], Counts]:
    """Returns the counts since the last call, by service, version, route."""
    unsent, self._unsent = self._unsent, {}
    return unsent

  def suspect(self, move: Move, reason: str) -> bool:
    """Stops the traffic to a version.

    Args:
      move: The version's move.
      reason: What is wrong with it.

    Returns:
      True when it was not suspected before.
    """
    if move in self._suspected:
      return False
    self._suspected[move] = reason
    return True

  def get_suspicions(self) -> dict[Move, str]:
    """Returns the suspected moves with what is wrong."""
    return dict(self._suspected)

  def describe(self) -> Iterable[status.MoveStatus]:
    """Describes the moves that the documents in force ask for."""
    for document in self._config.documents.values():
      shares = self.get_shares(document)
      for move in self.list_moves(document):
        record = self.get_record(move)
        reason = record.reason if record else ""
        yield status.MoveStatus(
          service=move.service,
          version=move.version,
          state=self.get_state(move),
          share=shares[move.version],
          reason=self._suspected.get(move, reason),
        )

  def _get_moved_share(self, move: Move) -> float:
    record = self.get_record(move)
    if record is None or self.get_state(move) == TAKEN_BACK:
      return 0.0
    return record.share

  def _is_slow(
    self,
    service: str,
    route: str,
    stable: bool,
    error: exceptions.BronzefoldError | None,
    took_s: Seconds,
  ) -> bool:
    if error is not None or not took_s:
      return False
    usual = self._usual.setdefault(
      (service, route), budgets.LatencyQuantile(_SLOW_QUANTILE)
    )
    if stable:
      usual.record(took_s)
    estimate = usual.get_estimate()
    return estimate is not None and took_s > estimate * _SLOW_FACTOR

  def _test(
    self, document: documents.Document, version: str, now: Seconds
  ) -> None:
    move = next(m for m in self.list_moves(document) if m.version == version)
    if move in self._suspected:
      return
    fault = self.get_evidence(document.service).find_fault(
      version, self.get_stable_versions(document), document.routes, now
    )
    if fault is not None and self.suspect(move, fault):
      self._on_suspicion(move, fault)


_NO_EVIDENCE = (
  exceptions.SnapshotGoneError,
  exceptions.NotOwnerError,
  exceptions.NoUpstreamError,
  exceptions.OverloadedError,
  exceptions.DeadlineExpiredError,
  exceptions.UpstreamRefusedError,
)


def _is_evidence(error: exceptions.BronzefoldError | None) -> bool:
  return not isinstance(error, _NO_EVIDENCE)
