"""Requests under which upstreams crash, and whether they may run again.

Answers a request that crashes every upstream that begins to run it and that its
caller sends again and again, among many innocent requests that were in
progress at the same upstreams. A request is suspected once several upstreams
have crashed under it, and quarantined if more do. A suspected one, or one whose
quarantine is over, goes to a single upstream first. Any response clears it.

Nodes take turns after a quarantine, in an order drawn by a hash, and a node
that sends the request claims its probes for a while; so one of them probes for
all, and another one if that one is gone. Once it has survived anywhere, each
node may probe it at once.

What a node knows is merged with the reports of other nodes; the order and the
number of the reports do not matter.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import hashlib
import logging
import math

import attrs

from bronzefold.core import events
from bronzefold.core.clock import Seconds

SUSPICION_CRASHES = 2  # one crash under a request is no sign of its guilt
QUARANTINE_CRASHES = 3
FIRST_QUARANTINE_S = 5.0  # about as long as an upstream takes to return
QUARANTINE_GROWTH = 8.0
MAX_QUARANTINE_S = 3600.0
SUSPICION_S = 60.0
# Callers that were rejected for a probe in progress return after it.
PROBE_WAIT_S = 0.1
# Time over which the turns of the nodes are spread.
TURNS_S = 3.0
# Time for which a probe of another node is waited for.
CLAIM_S = 2.0
# Share of a wait by which callers' returns are spread.
RETURN_SPREAD = 0.25
MAX_RECORDS = 1024
# About as long as a crashed upstream takes until it is back and warm.
ALERT_S = 10.0
# Time in which a node that has started hears what the others know.
START_ALERT_S = 2.0
_MAX_STRIKES = 5  # the quarantine has its full length by then

_logger = logging.getLogger(__name__)


class Verdict(enum.Enum):
  """What may be done with a request.

  Attributes:
    ADMIT: It may be sent as any other.
    PROBE: It may be sent to one upstream; to others once that one has
      responded.
    REJECT: It may not be sent.
  """

  ADMIT = "admit"
  PROBE = "probe"
  REJECT = "reject"


@attrs.frozen
class CrashReport:
  """What a node knows of a request under which upstreams crashed.

  Attributes:
    fingerprint: Fingerprint of the request.
    upstreams: Ids of upstreams that crashed under it, ``QUARANTINE_CRASHES`` at
      most.
    strikes: How often it has been quarantined.
    age_s: Seconds since the last crash.
    probe_age_s: Seconds since a node claimed its probes; None if that was
      long ago.
    has_survived: True once an upstream has responded to it after so many
      quarantines.
  """

  fingerprint: str
  upstreams: tuple[str, ...]
  strikes: int
  age_s: Seconds
  probe_age_s: Seconds | None = None
  has_survived: bool = False


@attrs.define(eq=False)
class _Record:
  """What this node knows of a request.

  Attributes:
    upstreams: Ids of upstreams that crashed under it.
    strikes: As in ``CrashReport``.
    crashed_at: Monotonic time of the last crash.
    changed_at: Monotonic time of the last change of its state.
    survived_at: Monotonic time of the last response of an upstream.
    is_probed: True while a probe is in progress on this node.
    claimed_at: Monotonic time at which a node claimed its probes.
    is_claimed_here: True if that was this node.
    survived_strikes: Most quarantines after which another node has seen it
      survive; -1 if none has.
  """

  upstreams: set[str] = attrs.field(factory=set)
  strikes: int = 0
  crashed_at: Seconds = -math.inf
  changed_at: Seconds = -math.inf
  survived_at: Seconds = -math.inf
  is_probed: bool = False
  claimed_at: Seconds = -math.inf
  is_claimed_here: bool = False
  survived_strikes: int = -1

  @property
  def is_suspected(self) -> bool:
    """True if too many upstreams have crashed under it."""
    return len(self.upstreams) >= SUSPICION_CRASHES

  @property
  def state(self) -> tuple[bool, int]:
    """All that decides, besides the time, what may be done with it."""
    return self.is_suspected, self.strikes

  @property
  def quarantined_until(self) -> Seconds:
    """Monotonic time until which it is quarantined."""
    return self.crashed_at + _compute_duration(self.strikes)

  @property
  def has_survived(self) -> bool:
    """True if it has survived on another node since its last quarantine."""
    return self.survived_strikes >= self.strikes

  @property
  def kept_until(self) -> Seconds:
    """Monotonic time at which it is forgotten."""
    remembered_s = max(SUSPICION_S, _compute_duration(self.strikes))
    return max(self.quarantined_until, self.survived_at) + remembered_s


OnChange = Callable[[CrashReport, Seconds], None]


class Quarantine:
  """The suspected requests that a node knows of.

  Attributes:
    on_change: Called with what this node knows of a request, when that has
      changed, and the monotonic time.
    node: Name of this node; empty if it has no others to take turns with.
  """

  def __init__(self, started_at: Seconds = -math.inf) -> None:
    """Creates a quarantine that knows of no request.

    Args:
      started_at: Monotonic time at which the node started, for a while after
        which it is alert; a node without others has nothing to hear.
    """
    self.on_change: OnChange = lambda report, now: None
    self.node = ""
    self._records: dict[str, _Record] = {}
    self._alert_until = started_at + START_ALERT_S

  @property
  def is_empty(self) -> bool:
    """True while no request has to be judged."""
    return not self._records

  def judge(self, fingerprint: str, now: Seconds) -> Verdict:
    """Decides whether a request may run.

    After ``PROBE``, ``end_probe`` must be called; requests with the same
    fingerprint are rejected until then.

    Args:
      fingerprint: The request's fingerprint.
      now: Monotonic time.
    """
    record = self._records.get(fingerprint)
    if record is None or not record.is_suspected or now >= record.kept_until:
      return Verdict.ADMIT
    if record.is_probed or now < self._get_turn(fingerprint, record):
      return Verdict.REJECT
    if record.strikes and not record.has_survived:
      is_claimed = now < record.claimed_at + CLAIM_S
      if is_claimed and not record.is_claimed_here:
        return Verdict.REJECT
      if not is_claimed:
        record.claimed_at = now
        record.is_claimed_here = True
        self.on_change(_describe(fingerprint, record, now), now)
    record.is_probed = True
    return Verdict.PROBE

  def is_alert(self, now: Seconds) -> bool:
    """True if a request became suspected, or the node started, lately.

    Args:
      now: Monotonic time.
    """
    return now < self._alert_until

  def is_suspected(self, fingerprint: str) -> bool:
    """True if a request is suspected."""
    record = self._records.get(fingerprint)
    return record is not None and record.is_suspected

  def end_probe(self, fingerprint: str) -> None:
    """Ends a probe, whatever became of it."""
    record = self._records.get(fingerprint)
    if record is not None:
      record.is_probed = False

  def get_wait(
    self, fingerprint: str, now: Seconds, spread: float = 0.0
  ) -> Seconds:
    """Returns when the caller of a rejected request should return, in seconds.

    Args:
      fingerprint: The request's fingerprint.
      now: Monotonic time.
      spread: Number from 0 to 1 that differs between callers, so that they do
        not return together.
    """
    record = self._records.get(fingerprint)
    until = now if record is None else self._get_turn(fingerprint, record)
    return max(PROBE_WAIT_S, until - now) * (1 + RETURN_SPREAD * spread)

  def record_crash(
    self, fingerprint: str, upstream_id: str, started_at: Seconds, now: Seconds
  ) -> None:
    """Records that an upstream crashed while it had a request.

    Args:
      fingerprint: The request's fingerprint.
      upstream_id: Id of the upstream.
      started_at: Monotonic time at which the request was sent to it.
      now: Monotonic time.
    """
    record = self._records.setdefault(fingerprint, _Record())
    state_before = record.state
    record.crashed_at = now
    if len(record.upstreams) < QUARANTINE_CRASHES:
      record.upstreams.add(upstream_id)
    # Attempts that were on their way belong to the same strike.
    elif started_at >= record.changed_at:
      record.strikes = min(_MAX_STRIKES, record.strikes + 1)
    self._complete_change(fingerprint, record, state_before, now)

  def record_survival(self, fingerprint: str, now: Seconds) -> None:
    """Records that an upstream has responded to a request, which clears it.

    Args:
      fingerprint: The request's fingerprint.
      now: Monotonic time.
    """
    record = self._records.get(fingerprint)
    if record is None:
      return
    if record.is_suspected:
      events.REQUEST_CLEARED.log(
        _logger, fingerprint=fingerprint, strikes=record.strikes
      )
      report = _describe(fingerprint, record, now)
      self.on_change(attrs.evolve(report, has_survived=True), now)
    self._records[fingerprint] = _Record(
      survived_at=now, is_probed=record.is_probed
    )

  def merge(self, report: CrashReport, now: Seconds) -> None:
    """Merges what another node knows of a request.

    Args:
      report: What it knows.
      now: Monotonic time.
    """
    crashed_at = now - max(0.0, report.age_s)
    record = self._records.get(report.fingerprint) or _Record()
    if crashed_at <= record.survived_at:
      return
    state_before = record.state
    crashed = sorted(record.upstreams.union(report.upstreams))
    record.upstreams = set(crashed[:QUARANTINE_CRASHES])
    record.strikes = max(record.strikes, min(_MAX_STRIKES, report.strikes))
    record.crashed_at = max(record.crashed_at, crashed_at)
    self._records[report.fingerprint] = record
    has_news = self._merge_probe(record, report, now)
    self._complete_change(report.fingerprint, record, state_before, now)
    if has_news and record.state == state_before:
      self.on_change(_describe(report.fingerprint, record, now), now)

  def _merge_probe(
    self, record: _Record, report: CrashReport, now: Seconds
  ) -> bool:
    """Merges what another node knows of probes; True if it is news."""
    has_news = False
    strikes = min(_MAX_STRIKES, report.strikes)
    if report.has_survived and strikes > record.survived_strikes:
      record.survived_strikes = strikes
      has_news = True
    # Claims of earlier quarantines are over, and those of the same time count
    # as one, so that they are not passed on for ever.
    if (
      report.probe_age_s is not None
      and strikes == record.strikes
      and now >= record.claimed_at + CLAIM_S
      and report.probe_age_s < CLAIM_S
    ):
      record.claimed_at = now - max(0.0, report.probe_age_s)
      record.is_claimed_here = False
      has_news = True
    return has_news

  def _get_turn(self, fingerprint: str, record: _Record) -> Seconds:
    """Returns the monotonic time from which this node may probe a request."""
    if not self.node or not record.strikes or record.has_survived:
      return record.quarantined_until
    turn = hashlib.blake2b(
      f"{self.node}/{fingerprint}/{record.strikes}".encode(), digest_size=4
    ).digest()
    share = int.from_bytes(turn) / 2**32
    return record.quarantined_until + TURNS_S * share

  def list_reports(self, now: Seconds) -> list[CrashReport]:
    """Lists the suspected requests, and forgets those of long ago.

    Args:
      now: Monotonic time.
    """
    self._records = {
      fingerprint: record
      for fingerprint, record in self._records.items()
      if now < record.kept_until or record.is_probed
    }
    return [
      _describe(fingerprint, record, now)
      for fingerprint, record in self._records.items()
      if record.is_suspected
    ]

  def _complete_change(
    self,
    fingerprint: str,
    record: _Record,
    state_before: tuple[bool, int],
    now: Seconds,
  ) -> None:
    """Quarantines the request if it must be, and announces a change.

    Args:
      fingerprint: Fingerprint of the request.
      record: Its record, with the change.
      state_before: State of the record before the change.
      now: Monotonic time.
    """
    if len(record.upstreams) >= QUARANTINE_CRASHES:
      record.strikes = max(1, record.strikes)
    if record.state != state_before:
      record.changed_at = now
      self._announce(fingerprint, record, now)
    self._limit_records()

  def _announce(self, fingerprint: str, record: _Record, now: Seconds) -> None:
    self._alert_until = max(self._alert_until, record.crashed_at + ALERT_S)
    event = (
      events.REQUEST_QUARANTINED if record.strikes else events.REQUEST_SUSPECTED
    )
    event.log(
      _logger,
      fingerprint=fingerprint,
      strikes=record.strikes,
      upstreams=sorted(record.upstreams),
      duration_s=_compute_duration(record.strikes),
    )
    self.on_change(_describe(fingerprint, record, now), now)

  def _limit_records(self) -> None:
    """Forgets the record of the earliest crash if there are too many."""
    if len(self._records) > MAX_RECORDS:
      del self._records[
        min(self._records, key=lambda name: self._records[name].crashed_at)
      ]


def _compute_duration(strikes: int) -> Seconds:
  """Returns how long a request is quarantined, in seconds."""
  if not strikes:
    return 0.0
  return min(
    MAX_QUARANTINE_S, FIRST_QUARANTINE_S * QUARANTINE_GROWTH ** (strikes - 1)
  )


def _describe(fingerprint: str, record: _Record, now: Seconds) -> CrashReport:
  return CrashReport(
    fingerprint,
    tuple(sorted(record.upstreams)),
    record.strikes,
    now - record.crashed_at,
    now - record.claimed_at if now < record.claimed_at + CLAIM_S else None,
    record.has_survived,
  )
