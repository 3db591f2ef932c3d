"""Traffic of the versions of a service, and what was observed of them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import attrs
import xxhash

from bronzefold.core import budgets
from bronzefold.core import documents
from bronzefold.core import evidence
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.node import configuration
from bronzefold.node import selection
from bronzefold.node import status

ROLLING_OUT = "moving"
DONE = "done"
ROLLED_BACK = "taken_back"

_HASH_RANGE = float(1 << 64)
_SLOW_FACTOR = 2.0
_SLOW_QUANTILE = 0.95


@attrs.frozen
class Rollout:
  """One move of one version; a document that changes its times starts anew."""

  service: str
  version: str
  start: float
  by: float


class VersionRouter:
  """Chooses a version for each request and watches the moving ones."""

  def __init__(
    self,
    config: configuration.Configuration,
    on_suspicion: Callable[[Rollout, str], None],
  ) -> None:
    """Creates traffic without observations.

    Args:
      config: The configuration in force.
      on_suspicion: Called with a move and the fault this node has found.
    """
    self._config = config
    self._on_suspicion = on_suspicion
    self._suspected: dict[Rollout, str] = {}
    self._evidence: dict[str, evidence.Evidence] = {}
    self._usual: dict[tuple[str, str], budgets.LatencyQuantile] = {}
    self._unsent: dict[tuple[str, str, str], evidence.Counts] = {}

  def list_rollouts(self, document: documents.Document) -> list[Rollout]:
    """Lists the moves that a document asks for."""
    return [
      Rollout(document.service, name, version.start, version.by)
      for name, version in document.versions.items()
      if version.by is not None
    ]

  def get_record(self, move: Rollout) -> configuration.RolloutRecord | None:
    """Returns the record of exactly this move, None if there is none."""
    record = self._config.rollouts.get(move.service)
    if record is None or record.version != move.version:
      return None
    if (record.start, record.by) != (move.start, move.by):
      return None
    return record

  def get_state(self, move: Rollout) -> str:
    """Returns the state of a move as this node acts on it."""
    record = self.get_record(move)
    if move in self._suspected:
      return ROLLED_BACK
    return record.state if record else ROLLING_OUT

  def is_rolled_back(self, service: str, version: str) -> bool:
    """True when a version must get no traffic."""
    document = self._config.documents.get(service)
    if document is None:
      return False
    return any(
      move.version == version and self.get_state(move) == ROLLED_BACK
      for move in self.list_rollouts(document)
    )

  def get_stable_versions(self, document: documents.Document) -> set[str]:
    """Returns the versions that may carry any traffic."""
    unstable = {
      move.version
      for move in self.list_rollouts(document)
      if self.get_state(move) != DONE
    }
    return set(document.versions) - unstable

  def get_shares(self, document: documents.Document) -> dict[str, float]:
    """Returns the share of the traffic of each version; they add up to 1."""
    moves = {move.version: move for move in self.list_rollouts(document)}
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

  def filter_upstreams(
    self,
    document: documents.Document,
    usable: Sequence[selection.UsableUpstream],
    version: str | None,
  ) -> list[selection.UsableUpstream]:
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

  def record_exchange(
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
    moves = self.list_rollouts(document)
    if not moves or not _is_evidence(error):
      return
    service = document.service
    stable = self.get_stable_versions(document)
    slow = self._is_slow(service, route, version in stable, error, took_s)
    counts = evidence.Counts(
      good=int(error is None and not slow),
      failed=int(error is not None),
      slow=int(error is None and slow),
    )
    key = (service, version, route)
    self._unsent.setdefault(key, evidence.Counts()).add(counts)
    self.record_counts(service, version, route, counts, now)
    if counts.good == 0 and version not in stable:
      self._test(document, version, now)

  def record_counts(
    self,
    service: str,
    version: str,
    route: str,
    counts: evidence.Counts,
    now: Seconds,
  ) -> None:
    """Adds counts to this node's evidence."""
    self.get_evidence(service).record(version, route, counts, now)

  def get_evidence(self, service: str) -> evidence.Evidence:
    """Returns the evidence about a service's versions."""
    return self._evidence.setdefault(service, evidence.Evidence())

  def take_unsent(self) -> dict[tuple[str, str, str], evidence.Counts]:
    """Returns the counts since the last call, by service, version, route."""
    unsent, self._unsent = self._unsent, {}
    return unsent

  def record_suspicion(self, move: Rollout, reason: str) -> bool:
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

  def get_suspicions(self) -> dict[Rollout, str]:
    """Returns the suspected moves with what is wrong."""
    return dict(self._suspected)

  def describe_rollouts(self) -> Iterable[status.RolloutStatus]:
    """Describes the moves that the documents in force ask for."""
    for document in self._config.documents.values():
      shares = self.get_shares(document)
      for move in self.list_rollouts(document):
        record = self.get_record(move)
        reason = record.reason if record else ""
        yield status.RolloutStatus(
          service=move.service,
          version=move.version,
          state=self.get_state(move),
          share=shares[move.version],
          reason=self._suspected.get(move, reason),
        )

  def _get_moved_share(self, move: Rollout) -> float:
    record = self.get_record(move)
    if record is None or self.get_state(move) == ROLLED_BACK:
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
    move = next(m for m in self.list_rollouts(document) if m.version == version)
    if move in self._suspected:
      return
    fault = self.get_evidence(document.service).find_regression(
      version, self.get_stable_versions(document), document.routes, now
    )
    if fault is not None and self.record_suspicion(move, fault):
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
