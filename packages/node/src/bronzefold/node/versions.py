"""Distribution of traffic over versions, and evidence about each version."""

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
_BASELINE_QUANTILE = 0.95


@attrs.frozen
class Rollout:
  """One rollout of a version; a change of its times makes another rollout.

  Attributes:
    service: Name of the service.
    version: Name of the version.
    start: Start, seconds since the Unix epoch.
    by: End, seconds since the Unix epoch.
  """

  service: str
  version: str
  start: float
  by: float


class VersionRouter:
  """Chooses a version for each request and monitors versions in rollout."""

  def __init__(
    self,
    config: configuration.Configuration,
    on_suspicion: Callable[[Rollout, str], None],
  ) -> None:
    """Creates a router without evidence.

    Args:
      config: The configuration in force.
      on_suspicion: Called with a rollout and the regression that this node
        has found.
    """
    self._config = config
    self._on_suspicion = on_suspicion
    self._suspected_rollouts: dict[Rollout, str] = {}
    self._evidence: dict[str, evidence.Evidence] = {}
    self._baseline_latencies: dict[
      tuple[str, str], budgets.LatencyQuantile
    ] = {}
    self._unsent_counts: dict[
      tuple[str, str, str], evidence.ExchangeCounts
    ] = {}

  def list_rollouts(self, document: documents.Document) -> list[Rollout]:
    """Lists the rollouts that a document requests."""
    return [
      Rollout(document.service, name, version.start, version.by)
      for name, version in document.versions.items()
      if version.by is not None
    ]

  def get_rollout_record(
    self, rollout: Rollout
  ) -> configuration.RolloutRecord | None:
    """Returns the record of exactly this rollout, None if there is none."""
    record = self._config.rollouts.get(rollout.service)
    if record is None or record.version != rollout.version:
      return None
    if (record.start, record.by) != (rollout.start, rollout.by):
      return None
    return record

  def get_rollout_state(self, rollout: Rollout) -> str:
    """Returns the state of a rollout as this node applies it.

    A suspected rollout counts as rolled back before the leader records it.
    """
    record = self.get_rollout_record(rollout)
    if rollout in self._suspected_rollouts:
      return ROLLED_BACK
    return record.state if record else ROLLING_OUT

  def is_rolled_back(self, service: str, version: str) -> bool:
    """True when a version is rolled back and must get no traffic."""
    document = self._config.documents.get(service)
    if document is None:
      return False
    return any(
      rollout.version == version
      and self.get_rollout_state(rollout) == ROLLED_BACK
      for rollout in self.list_rollouts(document)
    )

  def get_stable_versions(self, document: documents.Document) -> set[str]:
    """Returns the versions that have no rollout or whose rollout is done."""
    unstable = {
      rollout.version
      for rollout in self.list_rollouts(document)
      if self.get_rollout_state(rollout) != DONE
    }
    return set(document.versions) - unstable

  def get_shares(self, document: documents.Document) -> dict[str, float]:
    """Returns each version's share of the traffic; the shares add up to 1.

    Versions without a rollout divide what the rollouts leave, in proportion to
    their configured shares, or equally if all of these are 0.
    """
    rollouts = {
      rollout.version: rollout for rollout in self.list_rollouts(document)
    }
    shares = {
      name: self._get_rollout_share(rollout)
      for name, rollout in rollouts.items()
    }
    fixed_shares = {
      name: version.share
      for name, version in document.versions.items()
      if name not in rollouts
    }
    remaining_share = max(0.0, 1.0 - sum(shares.values()))
    total_fixed_share = sum(fixed_shares.values())
    for name, share in fixed_shares.items():
      fraction = (
        share / total_fixed_share
        if total_fixed_share
        else 1.0 / len(fixed_shares)
      )
      shares[name] = remaining_share * fraction
    return shares

  def choose_version(self, document: documents.Document, request: str) -> str:
    """Chooses the version for a request by a hash of the request's id.

    Args:
      document: The service's document.
      request: Id of the request; all nodes choose the same version for it.

    Returns:
      Name of the version.
    """
    key = f"{document.service}/{request}".encode()
    point = xxhash.xxh3_64_intdigest(key) / _HASH_RANGE
    shares = self.get_shares(document)
    cumulative_share = 0.0
    for name in sorted(shares):
      cumulative_share += shares[name]
      if point < cumulative_share:
        return name
    return max(shares, key=shares.__getitem__)

  def filter_upstreams(
    self,
    document: documents.Document,
    candidates: Sequence[selection.UsableUpstream],
    version: str | None,
  ) -> list[selection.UsableUpstream]:
    """Selects the upstreams whose version should serve a request.

    Args:
      document: The service's document.
      candidates: The upstreams that may serve the request; at least one.
      version: The version chosen for the request, None to accept any stable
        version.

    Returns:
      Upstreams of the version, else of stable versions, else all.
    """
    stable = self.get_stable_versions(document)
    matching = [u for u in candidates if u.entry.version == version]
    matching = matching or [u for u in candidates if u.entry.version in stable]
    return matching or list(candidates)

  def record_exchange(
    self,
    document: documents.Document,
    version: str,
    route: str,
    error: exceptions.BronzefoldError | None,
    took_s: Seconds,
    now: Seconds,
  ) -> None:
    """Records an exchange while the service has a rollout.

    Args:
      document: The service's document.
      version: Version of the upstream.
      route: Name of the route.
      error: Error of the exchange, None if it succeeded.
      took_s: Latency of the upstream, seconds; 0 if it must not be judged,
        as that of a cold upstream.
      now: The monotonic time.
    """
    rollouts = self.list_rollouts(document)
    if not rollouts or not _is_informative(error):
      return
    service = document.service
    stable = self.get_stable_versions(document)
    is_slow = self._is_slow(service, route, version in stable, error, took_s)
    counts = evidence.ExchangeCounts(
      good=int(error is None and not is_slow),
      failed=int(error is not None),
      slow=int(error is None and is_slow),
    )
    key = (service, version, route)
    self._unsent_counts.setdefault(key, evidence.ExchangeCounts()).add(counts)
    self.record_counts(service, version, route, counts, now)
    if counts.good == 0 and version not in stable:
      self._check_regression(document, version, now)

  def record_counts(
    self,
    service: str,
    version: str,
    route: str,
    counts: evidence.ExchangeCounts,
    now: Seconds,
  ) -> None:
    """Adds counts of this node or of another one to the evidence."""
    self.get_evidence(service).record(version, route, counts, now)

  def get_evidence(self, service: str) -> evidence.Evidence:
    """Returns the evidence about a service's versions."""
    return self._evidence.setdefault(service, evidence.Evidence())

  def pop_unsent_counts(
    self,
  ) -> dict[tuple[str, str, str], evidence.ExchangeCounts]:
    """Returns and resets the unsent counts by service, version and route."""
    unsent, self._unsent_counts = self._unsent_counts, {}
    return unsent

  def record_suspicion(self, rollout: Rollout, reason: str) -> bool:
    """Records a regression of a rollout, which stops traffic to its version.

    Args:
      rollout: The version's rollout.
      reason: The regression found in the version.

    Returns:
      True when the rollout was not suspected before.
    """
    if rollout in self._suspected_rollouts:
      return False
    self._suspected_rollouts[rollout] = reason
    return True

  def get_suspicions(self) -> dict[Rollout, str]:
    """Returns the suspected rollouts with the reason of each."""
    return dict(self._suspected_rollouts)

  def describe_rollouts(self) -> Iterable[status.RolloutStatus]:
    """Returns the status of each rollout that the documents request."""
    for document in self._config.documents.values():
      shares = self.get_shares(document)
      for rollout in self.list_rollouts(document):
        record = self.get_rollout_record(rollout)
        reason = record.reason if record else ""
        yield status.RolloutStatus(
          service=rollout.service,
          version=rollout.version,
          state=self.get_rollout_state(rollout),
          share=shares[rollout.version],
          reason=self._suspected_rollouts.get(rollout, reason),
        )

  def _get_rollout_share(self, rollout: Rollout) -> float:
    record = self.get_rollout_record(rollout)
    if record is None or self.get_rollout_state(rollout) == ROLLED_BACK:
      return 0.0
    return record.share

  def _is_slow(
    self,
    service: str,
    route: str,
    is_stable: bool,
    error: exceptions.BronzefoldError | None,
    took_s: Seconds,
  ) -> bool:
    if error is not None or not took_s:
      return False
    baseline = self._baseline_latencies.setdefault(
      (service, route), budgets.LatencyQuantile(_BASELINE_QUANTILE)
    )
    if is_stable:
      baseline.record(took_s)
    estimate = baseline.get_estimate()
    return estimate is not None and took_s > estimate * _SLOW_FACTOR

  def _check_regression(
    self, document: documents.Document, version: str, now: Seconds
  ) -> None:
    rollout = next(
      rollout
      for rollout in self.list_rollouts(document)
      if rollout.version == version
    )
    if rollout in self._suspected_rollouts:
      return
    regression = self.get_evidence(document.service).find_regression(
      version, self.get_stable_versions(document), document.routes, now
    )
    if regression is not None and self.record_suspicion(rollout, regression):
      self._on_suspicion(rollout, regression)


_UNINFORMATIVE_ERRORS = (
  exceptions.SnapshotGoneError,
  exceptions.NotOwnerError,
  exceptions.NoUpstreamError,
  exceptions.OverloadedError,
  exceptions.DeadlineExpiredError,
  exceptions.UpstreamRefusedError,
)


def _is_informative(error: exceptions.BronzefoldError | None) -> bool:
  return not isinstance(error, _UNINFORMATIVE_ERRORS)
