"""Moves of a service's traffic to upstreams of another version."""

from __future__ import annotations

import enum
import logging

import attrs

from bronzefold.core import budgets
from bronzefold.core import events
from bronzefold.core import evidence
from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory
from bronzefold.gateway import sending

CANARY_SHARE = 0.05  # the users allow 0.1 over all; the end takes the rest
SHIFT_BEFORE_S = 4.0  # time in which all traffic proves the version
FINISH_BEFORE_S = 2.4  # of the shift; two more nodes may try to write in it
SHORT_SHIFT = 0.15  # of an order that is shorter than 27 s
WRITE_RANK_S = 0.8  # a write is seen by the next node after a watch's pause

_SLOW_QUANTILE = 0.95
_SLOW_FACTOR = 2.0  # the users' bad versions are "several times slower"

_logger = logging.getLogger(__name__)


class RolloutState(enum.Enum):
  """How far a move has come."""

  RUNNING = "running"
  DONE = "done"
  ROLLED_BACK = "taken_back"


@attrs.frozen
class RolloutOrder:
  """The operators' order to move a service.

  Attributes:
    service: Name of the service.
    version: Version that its traffic is to go to.
    duration_s: Time in which the move must be done or taken back.
    revision: Store revision of the order.
  """

  service: str
  version: str
  duration_s: Seconds
  revision: int


@attrs.frozen
class RolloutRecord:
  """The state of a move as it stands in the store.

  Attributes:
    service: Name of the service.
    version: Version of the order that it belongs to.
    state: The state.
    revision: Store revision of the record.
  """

  service: str
  version: str
  state: RolloutState
  revision: int


@attrs.define(eq=False)
class Rollout:
  """An order with what this node knows about it.

  Attributes:
    order: The order.
    learned_at: Monotonic time at which this node learned of it.
    observed: Counts of good and bad answers, from all nodes.
    usual: Latency quantiles of the other versions, by route.
    fault: What is wrong with the version; empty if nothing is.
    fault_at: Monotonic time at which that was found.
    dealt: Part of a request that the new version is due.
  """

  order: RolloutOrder
  learned_at: Seconds
  observed: evidence.Evidence = attrs.field(factory=evidence.Evidence)
  usual: dict[str, budgets.LatencyQuantile] = attrs.field(factory=dict)
  fault: str = ""
  fault_at: Seconds = 0.0
  dealt: float = 0.0


@attrs.frozen
class Observation:
  """Counts of one version on one route that other nodes were not told yet."""

  service: str
  version: str
  route: str
  counts: evidence.Counts


class Rollouts:
  """All moves, as this node sees them.

  Without an order the versions of a service are treated alike. During a move
  a small share goes to the new version, and all of it shortly before the time
  is up, unless the version is worse than the others.
  """

  def __init__(self) -> None:
    self._moves: dict[str, Rollout] = {}
    self._records: dict[str, RolloutRecord] = {}
    self._unsent: dict[tuple[str, str, str], evidence.Counts] = {}

  @property
  def has_orders(self) -> bool:
    """True while an order stands."""
    return bool(self._moves)

  def set_order(self, order: RolloutOrder, now: Seconds) -> bool:
    """Takes note of an order; returns True if it is a new one."""
    known = self._moves.get(order.service)
    if known is not None and known.order.revision >= order.revision:
      return False
    self._moves[order.service] = Rollout(order, now)
    return True

  def cancel_order(self, service: str) -> bool:
    """Takes note that an order was withdrawn."""
    return self._moves.pop(service, None) is not None

  def set_record(self, record: RolloutRecord) -> bool:
    """Takes note of the state in the store."""
    known = self._records.get(record.service)
    if known is not None and known.revision >= record.revision:
      return False
    self._records[record.service] = record
    return True

  def remove_record(self, service: str) -> bool:
    """Takes note that the store holds no state of a service any more."""
    return self._records.pop(service, None) is not None

  def get_state(self, service: str) -> RolloutState | None:
    """Returns the state of a service's move; None if there is none."""
    move = self._moves.get(service)
    if move is None:
      return None
    record = self._get_record(move)
    if record is not None and record.state is not RolloutState.RUNNING:
      return record.state
    return RolloutState.ROLLED_BACK if move.fault else RolloutState.RUNNING

  def get_record_revision(self, service: str) -> int:
    """Returns the revision of a service's record; 0 if there is none."""
    record = self._records.get(service)
    return record.revision if record else 0

  def filter_upstreams(
    self,
    service: str,
    candidates: list[inventory.Upstream],
    is_first: bool,
    now: Seconds,
  ) -> list[inventory.Upstream]:
    """Keeps the upstreams of the version that a request should go to.

    Args:
      service: Name of the service.
      candidates: Its upstreams that may be used now.
      is_first: True for the first attempt; others go to the proven versions.
      now: Monotonic time.
    """
    move = self._moves.get(service)
    if move is None:
      return candidates
    version = move.order.version
    new = [up for up in candidates if up.instance.version == version]
    old = [up for up in candidates if up.instance.version != version]
    state = self.get_state(service)
    if state is RolloutState.ROLLED_BACK:
      return old
    if state is RolloutState.DONE:
      return new or old
    if not is_first or not new or not old:
      return old or new
    move.dealt += compute_share(move, now)
    if move.dealt < 1.0:
      return old
    move.dealt -= 1.0
    return new

  def record_attempt(
    self, attempt: sending.Attempt, route: str, now: Seconds
  ) -> None:
    """Takes note of how an attempt ended."""
    move = self._moves.get(attempt.service)
    if (
      move is None
      or self.get_state(attempt.service) is not RolloutState.RUNNING
    ):
      return
    version = attempt.upstream.instance.version
    counts = _count(move, attempt, route, version, now)
    if counts is None:
      return
    key = (attempt.service, version, route)
    self._unsent.setdefault(key, evidence.Counts()).add(counts)
    self._add(move, version, route, counts, now)

  def add_observation(
    self, told: Observation, passes_on: bool, now: Seconds
  ) -> None:
    """Adds what another node has observed.

    Args:
      told: The counts.
      passes_on: True if this node must tell them to others.
      now: Monotonic time.
    """
    move = self._moves.get(told.service)
    if move is None:
      return
    if passes_on:
      key = (told.service, told.version, told.route)
      self._unsent.setdefault(key, evidence.Counts()).add(told.counts)
    self._add(move, told.version, told.route, told.counts, now)

  def pop_unsent(self) -> list[Observation]:
    """Returns what other nodes must be told."""
    unsent, self._unsent = self._unsent, {}
    return [Observation(*key, counts) for key, counts in unsent.items()]

  def list_due_records(self, rank: int, now: Seconds) -> list[RolloutRecord]:
    """Lists the records that this node should write.

    Args:
      rank: How many nodes come before this one; it waits for each.
      now: Monotonic time.

    Returns:
      The records, with the revisions that they replace.
    """
    wait_s = rank * WRITE_RANK_S
    decided = (self._decide(move, wait_s, now) for move in self._moves.values())
    return [record for record in decided if record is not None]

  def _decide(
    self, move: Rollout, wait_s: Seconds, now: Seconds
  ) -> RolloutRecord | None:
    record = self._get_record(move)
    if record is not None and record.state is not RolloutState.RUNNING:
      return None
    elapsed_s = now - move.learned_at - wait_s
    if move.fault:
      due = now - move.fault_at >= wait_s
      state = RolloutState.ROLLED_BACK
    elif elapsed_s >= _get_finish_time(move.order):
      due, state = True, RolloutState.DONE
    else:
      due, state = record is None and elapsed_s >= 0.0, RolloutState.RUNNING
    if not due:
      return None
    service = move.order.service
    replaced = self.get_record_revision(service)
    return RolloutRecord(service, move.order.version, state, replaced)

  def _get_record(self, move: Rollout) -> RolloutRecord | None:
    record = self._records.get(move.order.service)
    if record is None or record.revision < move.order.revision:
      return None
    return record if record.version == move.order.version else None

  def _add(
    self,
    move: Rollout,
    version: str,
    route: str,
    counts: evidence.Counts,
    now: Seconds,
  ) -> None:
    move.observed.record(version, route, counts, now)
    is_bad = counts.failed or counts.slow
    if not is_bad or version != move.order.version:
      return
    if self.get_state(move.order.service) is not RolloutState.RUNNING:
      return
    versions = move.observed.list_versions() - {version}
    fault = move.observed.find_regression(version, versions, [route], now)
    if fault is not None:
      move.fault, move.fault_at = fault, now
      events.VERSION_SUSPECTED.log(
        _logger, service=move.order.service, version=version, reason=fault
      )


def compute_share(move: Rollout, now: Seconds) -> float:
  """Computes the share of a running move's requests for the new version."""
  shift_at = _get_shift_time(move.order)
  return 1.0 if now - move.learned_at >= shift_at else CANARY_SHARE


def _get_shift_time(order: RolloutOrder) -> Seconds:
  shift_s = min(SHIFT_BEFORE_S, SHORT_SHIFT * order.duration_s)
  return order.duration_s - shift_s


def _get_finish_time(order: RolloutOrder) -> Seconds:
  shift_s = order.duration_s - _get_shift_time(order)
  return order.duration_s - shift_s * FINISH_BEFORE_S / SHIFT_BEFORE_S


def _count(
  move: Rollout,
  attempt: sending.Attempt,
  route: str,
  version: str,
  now: Seconds,
) -> evidence.Counts | None:
  """Judges an attempt; None when it tells nothing about the version."""
  took_s = now - attempt.started_at
  usual = move.usual.setdefault(route, budgets.LatencyQuantile(_SLOW_QUANTILE))
  limit_s = usual.get_estimate()
  is_slow = limit_s is not None and took_s > _SLOW_FACTOR * limit_s
  if attempt.outcome is sending.Outcome.SERVED:
    if version != move.order.version:
      usual.record(took_s)
    return evidence.Counts(good=int(not is_slow), slow=int(is_slow))
  if attempt.outcome is sending.Outcome.NOT_RUN:
    return None
  if attempt.is_abandoned:
    return evidence.Counts(slow=1) if is_slow else None
  return evidence.Counts(failed=1)
