"""The leader's control of rollouts."""

from __future__ import annotations

import logging

import attrs
import msgspec

from bronzefold import store
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.node import configuration
from bronzefold.node import versions
from bronzefold.store import keys

# Fractions of the time between the start and the end of a rollout.
_CANARY_END_FRACTION = 0.2
# From here on the share grows without enough samples.
_FORCED_AFTER_FRACTION = 0.6
_FULL_SHARE_FRACTION = 0.9

# A smaller relative growth of the share is not written, unless it reaches the
# target.
_MIN_RELATIVE_CHANGE = 0.2
# Largest growth of the share in one record, with enough samples.
_MAX_GROWTH_FACTOR = 2.0

_logger = logging.getLogger(__name__)


def plan_share(
  rollout: versions.Rollout, target_share: float, now_wall: Seconds
) -> float:
  """Computes the share of the traffic that a good version should have now.

  Args:
    rollout: The version's rollout.
    target_share: Share at the end of the rollout.
    now_wall: Time since the Unix epoch, seconds.

  Returns:
    0 before the start, then a small constant share, then a share that grows
    exponentially and reaches ``target_share`` shortly before the end.
  """
  elapsed = (now_wall - rollout.start) / (rollout.by - rollout.start)
  first_share = min(target_share, defaults.ROLLOUT_FIRST_SHARE)
  if elapsed < 0:
    return 0.0
  if elapsed < _CANARY_END_FRACTION or target_share == 0.0:
    return first_share
  progress = min(
    1.0,
    (elapsed - _CANARY_END_FRACTION)
    / (_FULL_SHARE_FRACTION - _CANARY_END_FRACTION),
  )
  return first_share * (target_share / first_share) ** progress


def decide_rollout(
  rollout: versions.Rollout,
  record: configuration.RolloutRecord,
  target_share: float,
  samples: int,
  regression: str | None,
  now_wall: Seconds,
) -> configuration.RolloutRecord:
  """Computes the next state and share of a rollout.

  Args:
    rollout: The version's rollout.
    record: Its present record.
    target_share: Share at the end of the rollout.
    samples: Exchanges of the version in the window of observation.
    regression: The regression found in the version, None if there is none.
    now_wall: Time since the Unix epoch, seconds.

  Returns:
    The next record; the same one when nothing changes.
  """
  if record.state == versions.ROLLED_BACK:
    return record
  if regression is not None:
    return attrs.evolve(
      record,
      state=versions.ROLLED_BACK,
      share=0.0,
      reason=regression,
      changed_at=now_wall,
    )
  if record.state == versions.DONE:
    return record
  if now_wall >= rollout.by:
    return attrs.evolve(
      record,
      state=versions.DONE,
      share=target_share,
      reason="",
      changed_at=now_wall,
    )
  return _advance_share(rollout, record, target_share, samples, now_wall)


def _advance_share(
  rollout: versions.Rollout,
  record: configuration.RolloutRecord,
  target_share: float,
  samples: int,
  now_wall: Seconds,
) -> configuration.RolloutRecord:
  planned_share = plan_share(rollout, target_share, now_wall)
  elapsed = (now_wall - rollout.start) / (rollout.by - rollout.start)
  has_enough_samples = samples >= defaults.ROLLOUT_MIN_SAMPLES
  if planned_share <= record.share * (1.0 + _MIN_RELATIVE_CHANGE):
    if planned_share < target_share or record.share >= target_share:
      return record
  elif (
    not has_enough_samples
    and elapsed < _FORCED_AFTER_FRACTION
    and record.share > 0
  ):
    reason = f"{samples} exchanges so far"
    return attrs.evolve(record, reason=reason)
  if (
    has_enough_samples and elapsed < _FORCED_AFTER_FRACTION and record.share > 0
  ):
    planned_share = min(planned_share, record.share * _MAX_GROWTH_FACTOR)
  return attrs.evolve(
    record, share=planned_share, reason="", changed_at=now_wall
  )


class RolloutController:
  """Controls all rollouts while this node is the leader."""

  def __init__(
    self,
    config: configuration.Configuration,
    version_router: versions.VersionRouter,
    client: store.StoreClient,
  ) -> None:
    """Creates a controller.

    Args:
      config: The configuration in force.
      version_router: Holds the evidence about versions.
      client: Client of the store.
    """
    self._config = config
    self._version_router = version_router
    self._client = client

  async def advance_rollouts(
    self, leader_term: int, now: Seconds, now_wall: Seconds
  ) -> None:
    """Decides about every rollout once and writes the changed records.

    Args:
      leader_term: Store revision at which this node was elected.
      now: The monotonic time.
      now_wall: Time since the Unix epoch, seconds.
    """
    for document in list(self._config.documents.values()):
      for rollout in self._version_router.list_rollouts(document):
        await self._advance_rollout(
          document, rollout, leader_term, now, now_wall
        )

  async def _advance_rollout(
    self,
    document: documents.Document,
    rollout: versions.Rollout,
    leader_term: int,
    now: Seconds,
    now_wall: Seconds,
  ) -> None:
    current = self._version_router.get_rollout_record(rollout)
    record = current or _make_initial_record(rollout, leader_term, now_wall)
    evidence = self._version_router.get_evidence(document.service)
    regression = self._version_router.get_suspicions().get(
      rollout
    ) or evidence.find_regression(
      rollout.version,
      self._version_router.get_stable_versions(document),
      document.routes,
      now,
    )
    samples = sum(
      evidence.sum_counts(rollout.version, route, now).total
      for route in document.routes
    )
    target_share = document.versions[rollout.version].share
    decided = decide_rollout(
      rollout, record, target_share, samples, regression, now_wall
    )
    if decided != current:
      await self._write_record(document.service, decided, leader_term)

  async def _write_record(
    self,
    service: str,
    record: configuration.RolloutRecord,
    leader_term: int,
  ) -> None:
    key = keys.ROLLOUT_PREFIX + service
    stored = self._config.rollouts.get(service)
    if stored is not None and stored.leader_term > leader_term:
      # A later leader has written the record.
      return
    record = attrs.evolve(record, leader_term=leader_term)
    value = msgspec.json.encode(record).decode()
    expected = self._config.get_revision(key)
    try:
      revision = await self._client.put(key, value, expected)
    except exceptions.StoreError:
      # The next round decides again from the record in the configuration, which
      # the watch updates.
      return
    entry = store.Entry(key, value, revision)
    self._config.apply_changes([entry], self._config.revision)
    events.ROLLOUT_CHANGED.log(
      _logger,
      service=service,
      version=record.version,
      state=record.state,
      share=record.share,
      reason=record.reason,
    )


def _make_initial_record(
  rollout: versions.Rollout, leader_term: int, now_wall: Seconds
) -> configuration.RolloutRecord:
  return configuration.RolloutRecord(
    version=rollout.version,
    start=rollout.start,
    by=rollout.by,
    state=versions.ROLLING_OUT,
    share=0.0,
    reason="",
    leader_term=leader_term,
    changed_at=now_wall,
  )
