"""Rollouts: shifting a service's traffic to upstreams of another version."""

from __future__ import annotations

import enum
import http
import logging

import attrs

from bronzefold import store
from bronzefold.core import budgets
from bronzefold.core import defaults
from bronzefold.core import events
from bronzefold.core import evidence
from bronzefold.core.clock import Seconds
from bronzefold.gateway import inventory
from bronzefold.gateway import sending
from bronzefold.peers import messages

CANARY_SHARE = 0.05  # limit over a whole rollout: 0.1; the shift uses the rest
SHIFT_LEAD_S = 4.0  # the new version gets all traffic this long before the end
# A rollout is done this long before the end, so that two more nodes can try to
# write the record. The time shrinks in proportion with a shortened shift.
FINISH_LEAD_S = 2.4
MAX_SHIFT_SHARE = 0.15  # of the duration; limits the shift of orders below 27 s
WRITE_DELAY_PER_RANK_S = 0.8  # the next node sees a write after a watch pause
# Attempts that a version must have served under the whole load before it is
# done. A service with few requests shifts earlier, to have as many; a bad
# version may get 50 requests more than its share.
PROOF_ATTEMPTS = 30
MAX_PROOF_SHARE = 0.75  # of the duration; limits an earlier shift
# With fewer requests, a version needs the whole load for this share of the
# duration.
LONG_SHIFT_SHARE = 0.5
MIN_OBSERVATION_S = 2.0  # before that, a node does not know the load
# A version that is not proven after so many durations is rolled back.
MAX_DURATIONS = 2.0
# A version of whose attempts a larger share failed is not proven.
MAX_FAILED_SHARE = 0.2
# A version that was done without proof, as its service had no requests, is
# stopped if so many of its first attempts fail.
PROBATION_FAILURES = 5
PROBATION_FAILED_SHARE = 1.0 / 3.0

_SLOW_QUANTILE = 0.95
_SLOW_FACTOR = 2.0  # bad versions on the platform are "several times slower"

_logger = logging.getLogger(__name__)


class RolloutState(enum.Enum):
  """Progress of a rollout."""

  RUNNING = "running"
  DONE = "done"
  ROLLED_BACK = "taken_back"


@attrs.frozen
class RolloutOrder:
  """The operators' order to roll out a version of a service.

  Attributes:
    service: Name of the service.
    version: Version that is to receive the service's traffic.
    duration_s: Time within which the rollout must be done or rolled back, in
      seconds.
    revision: Store revision of the order.
  """

  service: str
  version: str
  duration_s: Seconds
  revision: int


@attrs.frozen
class RolloutRecord:
  """The state of a rollout as recorded in the store.

  Attributes:
    service: Name of the service.
    version: Version of the order that the record belongs to.
    state: The recorded state.
    revision: Store revision of the record.
  """

  service: str
  version: str
  state: RolloutState
  revision: int


@attrs.define(eq=False)
class Rollout:
  """An order together with this node's observations of the version.

  Attributes:
    order: The order.
    ordered_at: Monotonic time at which the first node received the order, as
      far as this node knows.
    observed_since: Monotonic time at which this node received the order.
    shifted_at: Monotonic time at which this node learnt of a shift before its
      usual time; None if there was none.
    observed_counts: Counts of good, failed and slow attempts, from all nodes.
    proof_counts: Those of the version since the shift, until it is proven.
    baselines: Latency quantiles of the other versions, by route.
    regression: Why the version is worse than the others; empty if it is not.
    regressed_at: Monotonic time at which the regression was detected.
    final_state: State of the order's first final record. A store that is
      restored may lose the record, which is then written again.
    canary_credit: Sum of the new version's shares of the requests so far, less
      the requests sent to it; it gets one at 1.
  """

  order: RolloutOrder
  ordered_at: Seconds
  observed_since: Seconds
  shifted_at: Seconds | None = None
  observed_counts: evidence.Evidence = attrs.field(factory=evidence.Evidence)
  proof_counts: evidence.ExchangeCounts = attrs.field(
    factory=evidence.ExchangeCounts
  )
  baselines: dict[str, budgets.LatencyQuantile] = attrs.field(factory=dict)
  regression: str = ""
  regressed_at: Seconds = 0.0
  final_state: RolloutState | None = None
  canary_credit: float = 0.0


@attrs.frozen
class VersionCounts:
  """Counts of one version on one route, as exchanged between nodes.

  Attributes:
    service: Name of the service.
    version: The version.
    route: Name of the route.
    counts: Good, failed and slow attempts.
  """

  service: str
  version: str
  route: str
  counts: evidence.ExchangeCounts


class Rollouts:
  """All rollouts known to this node.

  Without an order, all versions of a service are treated alike. During a
  rollout the new version gets a small share of the requests, and all of them
  shortly before the duration ends, unless the version has regressed compared
  with the others. It is done once it has proven itself under the whole load. If
  its service had no requests, it is on probation from then on.

  Nodes tell each other the statuses of rollouts, so a node that has just
  started knows where they stand.
  """

  def __init__(self) -> None:
    self._rollouts: dict[str, Rollout] = {}
    self._records: dict[str, RolloutRecord] = {}
    self._unsent_counts: dict[
      tuple[str, str, str], evidence.ExchangeCounts
    ] = {}
    self._early_statuses: dict[str, messages.RolloutStatus] = {}

  @property
  def has_orders(self) -> bool:
    """True while at least one order is in force."""
    return bool(self._rollouts)

  def set_order(self, order: RolloutOrder, now: Seconds) -> bool:
    """Starts the rollout of an order.

    The same order written again after the store was restored changes nothing.

    Args:
      order: The order.
      now: Monotonic time.

    Returns:
      True if the order is newer than the one in force.
    """
    current = self._rollouts.get(order.service)
    if current is not None and (
      current.order.revision >= order.revision
      or _is_rewritten(current.order, order)
    ):
      return False
    self._rollouts[order.service] = Rollout(order, now, now)
    self._record_final_state(order.service)
    early_status = self._early_statuses.pop(order.service, None)
    if early_status is not None:
      self.merge_status(early_status, now)
    return True

  def cancel_order(self, service: str) -> bool:
    """Ends a service's rollout; returns True if there was one."""
    return self._rollouts.pop(service, None) is not None

  def set_record(self, record: RolloutRecord) -> bool:
    """Applies a record of the store; returns True if the record is newer."""
    current = self._records.get(record.service)
    if current is not None and current.revision >= record.revision:
      return False
    self._records[record.service] = record
    self._record_final_state(record.service)
    return True

  def remove_record(self, service: str) -> bool:
    """Drops the record of a service that the store no longer holds.

    Args:
      service: Name of the service.

    Returns:
      True if there was a record.
    """
    return self._records.pop(service, None) is not None

  def get_state(self, service: str) -> RolloutState | None:
    """Returns the state of a service's rollout; None if there is none."""
    rollout = self._rollouts.get(service)
    if rollout is None:
      return None
    if rollout.regression:
      return RolloutState.ROLLED_BACK
    return rollout.final_state or RolloutState.RUNNING

  def get_record_revision(self, service: str) -> int:
    """Returns the revision of a service's record; 0 if there is none."""
    record = self._records.get(service)
    return record.revision if record else 0

  def advance(self, now: Seconds) -> None:
    """Takes the decisions that need the counts of all nodes.

    Args:
      now: Monotonic time.
    """
    for rollout in self._rollouts.values():
      service = rollout.order.service
      if self.get_state(service) is not RolloutState.RUNNING:
        continue
      if not _has_shifted(rollout, now) and _must_shift_early(rollout, now):
        self._shift(rollout, now)
      if _must_end(rollout, now) and not self._is_proven(rollout, now):
        counts = rollout.proof_counts
        reason = (
          f"under the whole load, {counts.failed} of {counts.total} exchanges "
          "failed"
        )
        self._record_regression(rollout, reason, now)

  def list_statuses(self, now: Seconds) -> tuple[messages.RolloutStatus, ...]:
    """Lists where the rollouts stand that the store does not tell of.

    Args:
      now: Monotonic time.
    """
    return tuple(
      messages.RolloutStatus(
        rollout.order.service,
        rollout.order.revision,
        now - rollout.ordered_at,
        rollout.shifted_at is not None,
        rollout.regression,
      )
      for rollout in self._rollouts.values()
      if rollout.final_state is None
      or (rollout.final_state is RolloutState.DONE and rollout.regression)
    )

  def merge_status(self, status: messages.RolloutStatus, now: Seconds) -> None:
    """Merges what another node knows of a rollout.

    Args:
      status: The status; it is kept while its order is not known here.
      now: Monotonic time.
    """
    rollout = self._rollouts.get(status.service)
    if rollout is None or rollout.order.revision < status.revision:
      self._early_statuses[status.service] = status
      return
    if rollout.order.revision != status.revision:
      return
    rollout.ordered_at = min(rollout.ordered_at, now - status.age_s)
    state = self.get_state(status.service)
    if (
      status.is_shifted
      and rollout.shifted_at is None
      and state is RolloutState.RUNNING
    ):
      self._shift(rollout, now)
    if status.regression and state is not RolloutState.ROLLED_BACK:
      self._record_regression(rollout, status.regression, now)

  def filter_upstreams(
    self,
    service: str,
    candidates: list[inventory.Upstream],
    is_first_attempt: bool,
    now: Seconds,
  ) -> list[inventory.Upstream]:
    """Filters upstreams by the version that an attempt should go to.

    Args:
      service: Name of the service.
      candidates: The service's upstreams that are usable now.
      is_first_attempt: True for the first attempt of a request; later attempts
        go to the other versions, which are proven, while the rollout runs.
      now: Monotonic time.

    Returns:
      The upstreams of the chosen version. Empty after a rollback if all
      candidates run the version that was rolled back.
    """
    rollout = self._rollouts.get(service)
    if rollout is None:
      return candidates
    version = rollout.order.version
    new = [up for up in candidates if up.instance.version == version]
    old = [up for up in candidates if up.instance.version != version]
    state = self.get_state(service)
    if state is RolloutState.ROLLED_BACK:
      return old
    if state is RolloutState.DONE:
      return new or old
    if not is_first_attempt or not new or not old:
      return old or new
    rollout.canary_credit += compute_new_version_share(rollout, now)
    if rollout.canary_credit < 1.0:
      return old
    rollout.canary_credit -= 1.0
    return new

  def record_attempt(
    self, attempt: sending.Attempt, route: str, now: Seconds
  ) -> None:
    """Counts the outcome of an attempt for the version that it went to.

    Args:
      attempt: The attempt, which has ended or was abandoned.
      route: Name of the route.
      now: Monotonic time.
    """
    rollout = self._rollouts.get(attempt.service)
    if rollout is None:
      return
    state = self.get_state(attempt.service)
    is_on_probation = _is_on_probation(rollout)
    if state is not RolloutState.RUNNING and not is_on_probation:
      return
    version = attempt.upstream.instance.version
    if is_on_probation and (
      version != rollout.order.version or not _is_own_answer(attempt)
    ):
      return
    counts = _classify_attempt(rollout, attempt, route, version, now)
    if counts is None:
      return
    key = (attempt.service, version, route)
    self._unsent_counts.setdefault(key, evidence.ExchangeCounts()).add(counts)
    self._add_counts(rollout, version, route, counts, now)

  def add_peer_counts(
    self, version_counts: VersionCounts, should_relay: bool, now: Seconds
  ) -> None:
    """Adds the counts of another node.

    Args:
      version_counts: The counts.
      should_relay: True if this node must relay the counts to other nodes.
      now: Monotonic time.
    """
    rollout = self._rollouts.get(version_counts.service)
    if rollout is None:
      return
    if should_relay:
      key = (
        version_counts.service,
        version_counts.version,
        version_counts.route,
      )
      self._unsent_counts.setdefault(key, evidence.ExchangeCounts()).add(
        version_counts.counts
      )
    self._add_counts(
      rollout,
      version_counts.version,
      version_counts.route,
      version_counts.counts,
      now,
    )

  def pop_unsent_counts(self) -> list[VersionCounts]:
    """Removes and returns the counts to send to other nodes."""
    unsent, self._unsent_counts = self._unsent_counts, {}
    return [VersionCounts(*key, counts) for key, counts in unsent.items()]

  def list_due_records(self, rank: int, now: Seconds) -> list[RolloutRecord]:
    """Lists the records that this node should write now.

    Args:
      rank: Number of nodes that write before this one; the node waits
        ``WRITE_DELAY_PER_RANK_S`` for each of them.
      now: Monotonic time.

    Returns:
      The records; their revision is that of the record they replace.
    """
    wait_s = rank * WRITE_DELAY_PER_RANK_S
    decided = (
      self._decide_record(rollout, wait_s, now)
      for rollout in self._rollouts.values()
    )
    return [record for record in decided if record is not None]

  def _decide_record(
    self, rollout: Rollout, wait_s: Seconds, now: Seconds
  ) -> RolloutRecord | None:
    """Returns the record that is due for a rollout; None if none is."""
    record = self._get_record(rollout)
    if record is not None and record.state is not RolloutState.RUNNING:
      return None
    elapsed_since_turn_s = now - rollout.ordered_at - wait_s
    if rollout.final_state is not None:
      is_due = elapsed_since_turn_s >= 0.0
      state = rollout.final_state
    elif rollout.regression:
      is_due = now - rollout.regressed_at >= wait_s
      state = RolloutState.ROLLED_BACK
    elif elapsed_since_turn_s >= _compute_finish_delay(
      rollout.order
    ) and self._is_proven(rollout, now):
      is_due, state = True, RolloutState.DONE
    else:
      is_due, state = (
        record is None and elapsed_since_turn_s >= 0.0,
        RolloutState.RUNNING,
      )
    if not is_due:
      return None
    service = rollout.order.service
    replaced_revision = self.get_record_revision(service)
    return RolloutRecord(
      service, rollout.order.version, state, replaced_revision
    )

  def _record_final_state(self, service: str) -> None:
    """Keeps the state of a final record for as long as its order stands."""
    rollout = self._rollouts.get(service)
    record = self._get_record(rollout) if rollout is not None else None
    if record is not None and record.state is not RolloutState.RUNNING:
      rollout.final_state = rollout.final_state or record.state

  def _get_record(self, rollout: Rollout) -> RolloutRecord | None:
    """Returns the record of a rollout's order; None if there is none."""
    record = self._records.get(rollout.order.service)
    if record is None or record.revision < rollout.order.revision:
      return None
    return record if record.version == rollout.order.version else None

  def _add_counts(
    self,
    rollout: Rollout,
    version: str,
    route: str,
    counts: evidence.ExchangeCounts,
    now: Seconds,
  ) -> None:
    """Adds counts and checks the new version for a regression."""
    is_new = version == rollout.order.version
    if rollout.final_state is not None:
      if is_new and _is_on_probation(rollout):
        rollout.proof_counts.add(counts)
        self._judge_probation(rollout, now)
      return
    if _has_shifted(rollout, now):
      rollout.observed_counts.keep()
      if is_new:
        rollout.proof_counts.add(counts)
    rollout.observed_counts.record(version, route, counts, now)
    has_bad_attempts = counts.failed or counts.slow
    if not has_bad_attempts or not is_new:
      return
    if self.get_state(rollout.order.service) is not RolloutState.RUNNING:
      return
    other_versions = rollout.observed_counts.list_versions() - {version}
    regression = rollout.observed_counts.find_regression(
      version, other_versions, [route], now
    )
    if regression is not None:
      self._record_regression(rollout, regression, now)

  def _judge_probation(self, rollout: Rollout, now: Seconds) -> None:
    """Stops a version that was done without proof, if its attempts fail."""
    counts = rollout.proof_counts
    if (
      counts.failed >= PROBATION_FAILURES
      and counts.failed >= PROBATION_FAILED_SHARE * counts.total
    ):
      reason = f"{counts.failed} of its first {counts.total} exchanges failed"
      self._record_regression(rollout, reason, now)

  def _record_regression(
    self, rollout: Rollout, reason: str, now: Seconds
  ) -> None:
    """Records that the version of a running rollout has regressed."""
    rollout.regression, rollout.regressed_at = reason, now
    events.VERSION_SUSPECTED.log(
      _logger,
      service=rollout.order.service,
      version=rollout.order.version,
      reason=reason,
    )

  def _shift(self, rollout: Rollout, now: Seconds) -> None:
    """Gives a version all traffic before the usual time."""
    rollout.shifted_at = now
    events.VERSION_MOVED.log(
      _logger,
      service=rollout.order.service,
      version=rollout.order.version,
      state="shifted",
      elapsed_s=round(now - rollout.ordered_at, 3),
    )

  def _is_proven(self, rollout: Rollout, now: Seconds) -> bool:
    """True if a version has served enough, and nothing speaks against it.

    A version of a service without requests needs no proof.
    """
    if now - rollout.observed_since < MIN_OBSERVATION_S:
      return False
    counts = rollout.observed_counts
    if not counts.count_all(now):
      return _knows_whole_rollout(rollout, now)
    attempts = rollout.proof_counts.total
    if not attempts or (
      attempts < PROOF_ATTEMPTS and not _has_long_shifted(rollout, now)
    ):
      return False
    version = rollout.order.version
    if counts.sum_version(version, now).failed_share > MAX_FAILED_SHARE:
      return False
    doubt = counts.find_regression(
      version,
      counts.list_versions() - {version},
      counts.list_routes(),
      now,
      evidence.DOUBT,
    )
    return doubt is None


def _is_rewritten(current: RolloutOrder, order: RolloutOrder) -> bool:
  """True if an order equals one from before the store was restored."""
  return attrs.evolve(
    current, revision=order.revision
  ) == order and store.eras.get_era(current.revision) < store.eras.get_era(
    order.revision
  )


def compute_new_version_share(rollout: Rollout, now: Seconds) -> float:
  """Computes the new version's share of requests in a running rollout."""
  return 1.0 if _has_shifted(rollout, now) else CANARY_SHARE


def _has_shifted(rollout: Rollout, now: Seconds) -> bool:
  """True once all traffic of a running rollout goes to its version."""
  shift_delay_s = _compute_shift_delay(rollout.order)
  return (
    rollout.shifted_at is not None or now - rollout.ordered_at >= shift_delay_s
  )


def _knows_whole_rollout(rollout: Rollout, now: Seconds) -> bool:
  """True unless a node has started in the middle of a rollout."""
  return (
    rollout.observed_since - rollout.ordered_at < MIN_OBSERVATION_S
    or now - rollout.observed_since >= rollout.order.duration_s
  )


def _has_long_shifted(rollout: Rollout, now: Seconds) -> bool:
  """True if a version has had all traffic for much of the duration."""
  shifted_at = rollout.shifted_at
  if shifted_at is None:
    shifted_at = rollout.ordered_at + _compute_shift_delay(rollout.order)
  return now - shifted_at >= LONG_SHIFT_SHARE * rollout.order.duration_s


def _must_shift_early(rollout: Rollout, now: Seconds) -> bool:
  """True if the time until a rollout's end is just enough to prove a version.

  Args:
    rollout: The rollout, which has not shifted.
    now: Monotonic time.
  """
  duration_s = rollout.order.duration_s
  observed_s = now - rollout.observed_since
  elapsed_s = now - rollout.ordered_at
  if (
    observed_s < MIN_OBSERVATION_S
    or elapsed_s < (1.0 - MAX_PROOF_SHARE) * duration_s
  ):
    return False
  attempts = rollout.observed_counts.count_all(now)
  attempts_per_s = attempts / min(observed_s, defaults.ROLLOUT_WINDOW_S)
  left_s = _compute_finish_delay(rollout.order) - elapsed_s
  return 0 < attempts_per_s * left_s <= PROOF_ATTEMPTS


def _must_end(rollout: Rollout, now: Seconds) -> bool:
  """True if a rollout should not wait for further proof."""
  if not rollout.observed_counts.count_all(now):
    return False
  elapsed_s = now - rollout.ordered_at
  had_its_chance = (
    rollout.proof_counts.total > 0
    and _has_long_shifted(rollout, now)
    and elapsed_s >= _compute_finish_delay(rollout.order)
  )
  return had_its_chance or elapsed_s >= (
    MAX_DURATIONS * rollout.order.duration_s
  )


def _is_on_probation(rollout: Rollout) -> bool:
  """True while a version that is done has served too little to be proven."""
  return (
    rollout.final_state is RolloutState.DONE
    and not rollout.regression
    and rollout.proof_counts.total < PROOF_ATTEMPTS
  )


def _is_own_answer(attempt: sending.Attempt) -> bool:
  """True if an attempt shows how its version answers.

  A lost connection tells of a crash, and some services answer many requests
  with a status below 500.
  """
  if attempt.outcome is sending.Outcome.SERVED:
    return True
  return attempt.outcome is sending.Outcome.FAILED and (
    attempt.response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
  )


def _compute_shift_delay(order: RolloutOrder) -> Seconds:
  """Returns when all traffic shifts, in seconds from the order."""
  shift_s = min(SHIFT_LEAD_S, MAX_SHIFT_SHARE * order.duration_s)
  return order.duration_s - shift_s


def _compute_finish_delay(order: RolloutOrder) -> Seconds:
  """Returns when the rollout counts as done, in seconds from the order."""
  shift_s = order.duration_s - _compute_shift_delay(order)
  return order.duration_s - shift_s * FINISH_LEAD_S / SHIFT_LEAD_S


def _classify_attempt(
  rollout: Rollout,
  attempt: sending.Attempt,
  route: str,
  version: str,
  now: Seconds,
) -> evidence.ExchangeCounts | None:
  """Classifies an attempt as good, failed or slow.

  Served attempts of the other versions update the latency baseline.

  Args:
    rollout: The running rollout.
    attempt: The attempt, which has ended or was abandoned.
    route: Name of the route.
    version: Version of the attempt's upstream.
    now: Monotonic time.

  Returns:
    The counts; None if the attempt says nothing about the version.
  """
  took_s = now - attempt.started_at
  baseline = rollout.baselines.setdefault(
    route, budgets.LatencyQuantile(_SLOW_QUANTILE)
  )
  limit_s = baseline.get_estimate()
  is_slow = limit_s is not None and took_s > _SLOW_FACTOR * limit_s
  if attempt.outcome is sending.Outcome.SERVED:
    if version != rollout.order.version:
      baseline.record(took_s)
    return evidence.ExchangeCounts(good=int(not is_slow), slow=int(is_slow))
  if attempt.outcome is sending.Outcome.NOT_RUN:
    return None
  if attempt.is_abandoned:
    return evidence.ExchangeCounts(slow=1) if is_slow else None
  return evidence.ExchangeCounts(failed=1)
