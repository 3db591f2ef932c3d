"""The leader's decisions about the moves of versions."""

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

_CANARY_END = 0.2
_FORCED_AFTER = 0.6
_FULL_AT = 0.9
_MIN_RELATIVE_CHANGE = 0.2
_MAX_GROWTH = 2.0

_logger = logging.getLogger(__name__)


def plan_share(
  move: versions.Rollout, share: float, now_wall: Seconds
) -> float:
  """Computes the share that a good version should carry by now.

  Args:
    move: The version's move.
    share: Share at the end of the move.
    now_wall: Time since the Unix epoch.

  Returns:
    0 before the start, a small share at first, then growing by a constant
    factor until ``share`` is reached shortly before the end.
  """
  elapsed = (now_wall - move.start) / (move.by - move.start)
  first = min(share, defaults.ROLLOUT_FIRST_SHARE)
  if elapsed < 0:
    return 0.0
  if elapsed < _CANARY_END or share == 0.0:
    return first
  progress = min(1.0, (elapsed - _CANARY_END) / (_FULL_AT - _CANARY_END))
  return first * (share / first) ** progress


def decide(
  move: versions.Rollout,
  record: configuration.RolloutRecord,
  target: float,
  samples: int,
  fault: str | None,
  now_wall: Seconds,
) -> configuration.RolloutRecord:
  """Decides how a move goes on.

  Args:
    move: The version's move.
    record: How far it has come.
    target: Share at the end of the move.
    samples: Exchanges of the version in the window of observation.
    fault: What is wrong with the version, None if nothing is.
    now_wall: Time since the Unix epoch.

  Returns:
    The next record; the same one when nothing changes.
  """
  if record.state == versions.ROLLED_BACK:
    return record
  if fault is not None:
    return attrs.evolve(
      record,
      state=versions.ROLLED_BACK,
      share=0.0,
      reason=fault,
      changed_at=now_wall,
    )
  if record.state == versions.DONE:
    return record
  if now_wall >= move.by:
    return attrs.evolve(
      record,
      state=versions.DONE,
      share=target,
      reason="",
      changed_at=now_wall,
    )
  return _advance(move, record, target, samples, now_wall)


def _advance(
  move: versions.Rollout,
  record: configuration.RolloutRecord,
  target: float,
  samples: int,
  now_wall: Seconds,
) -> configuration.RolloutRecord:
  planned = plan_share(move, target, now_wall)
  elapsed = (now_wall - move.start) / (move.by - move.start)
  proved = samples >= defaults.ROLLOUT_MIN_SAMPLES
  if planned <= record.share * (1.0 + _MIN_RELATIVE_CHANGE):
    if planned < target or record.share >= target:
      return record
  elif not proved and elapsed < _FORCED_AFTER and record.share > 0:
    reason = f"{samples} exchanges so far"
    return attrs.evolve(record, reason=reason)
  if proved and elapsed < _FORCED_AFTER and record.share > 0:
    planned = min(planned, record.share * _MAX_GROWTH)
  return attrs.evolve(record, share=planned, reason="", changed_at=now_wall)


class RolloutController:
  """Decides about all moves while this node is the leader."""

  def __init__(
    self,
    config: configuration.Configuration,
    traffic: versions.VersionRouter,
    client: store.StoreClient,
  ) -> None:
    """Creates a controller.

    Args:
      config: The configuration in force.
      traffic: Evidence about versions.
      client: The platform.
    """
    self._config = config
    self._traffic = traffic
    self._client = client

  async def run_once(
    self, leader_term: int, now: Seconds, now_wall: Seconds
  ) -> None:
    """Decides about every move once and writes the changes.

    Args:
      leader_term: Revision at which this node was elected.
      now: The monotonic time.
      now_wall: Time since the Unix epoch.
    """
    for document in list(self._config.documents.values()):
      for move in self._traffic.list_rollouts(document):
        await self._decide_move(document, move, leader_term, now, now_wall)

  async def _decide_move(
    self,
    document: documents.Document,
    move: versions.Rollout,
    leader_term: int,
    now: Seconds,
    now_wall: Seconds,
  ) -> None:
    known = self._traffic.get_record(move)
    record = known or _start_record(move, leader_term, now_wall)
    evidence = self._traffic.get_evidence(document.service)
    fault = self._traffic.get_suspicions().get(
      move
    ) or evidence.find_regression(
      move.version,
      self._traffic.get_stable_versions(document),
      document.routes,
      now,
    )
    samples = sum(
      evidence.sum_counts(move.version, route, now).total
      for route in document.routes
    )
    target = document.versions[move.version].share
    decided = decide(move, record, target, samples, fault, now_wall)
    if decided != known:
      await self._write(document.service, decided, leader_term)

  async def _write(
    self,
    service: str,
    record: configuration.RolloutRecord,
    leader_term: int,
  ) -> None:
    key = keys.ROLLOUT_PREFIX + service
    stored = self._config.rollouts.get(service)
    if stored is not None and stored.leader_term > leader_term:
      return
    record = attrs.evolve(record, leader_term=leader_term)
    value = msgspec.json.encode(record).decode()
    expected = self._config.get_revision(key)
    try:
      revision = await self._client.put(key, value, expected)
    except exceptions.StoreError:
      # The next round reads what the platform holds and decides again.
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


def _start_record(
  move: versions.Rollout, leader_term: int, now_wall: Seconds
) -> configuration.RolloutRecord:
  return configuration.RolloutRecord(
    version=move.version,
    start=move.start,
    by=move.by,
    state=versions.ROLLING_OUT,
    share=0.0,
    reason="",
    leader_term=leader_term,
    changed_at=now_wall,
  )
