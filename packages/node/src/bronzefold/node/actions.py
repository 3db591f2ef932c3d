"""Actions: requests that are not idempotent and run at most once."""

from __future__ import annotations

from collections.abc import Sequence
import logging
import random
import uuid

import anyio
import attrs
from expression import Error
from expression import Ok
from expression import Result

from bronzefold.core import clock
from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.node import claims
from bronzefold.node import dispatch
from bronzefold.node import routing
from bronzefold.node import selection
from bronzefold.node import versions

_MAX_ATTEMPTS = 4
_RETRY_PAUSE_S = 0.02
_EARLIER_POLL_S = 0.1
_MARGIN_S = 0.05

_logger = logging.getLogger(__name__)


@attrs.frozen
class ActionRequest:
  """An action as a caller asks for it.

  Attributes:
    request: Id of the request.
    document: Document of the service.
    route: Name of the route.
    key: The idempotency key.
    body: Body for the upstream, JSON.
    deadline: Monotonic time of the deadline.
  """

  request: str
  document: documents.Document
  route: str
  key: str
  body: bytes
  deadline: clock.Seconds


@attrs.frozen
class ActionAnswer:
  """The outcome of an action that ran.

  Attributes:
    request: Id of the request.
    status: HTTP status of the upstream.
    result: Body of the upstream's reply.
    repeated: True when an earlier attempt with the same key ran it.
  """

  request: str
  status: int
  result: bytes
  repeated: bool


class ActionRunner:
  """Runs actions; one instance serves the whole node."""

  def __init__(
    self,
    selector: selection.Selector,
    dispatcher: dispatch.Dispatcher,
    traffic: versions.VersionRouter,
    claimed: claims.Claims,
    policy: routing.Policy,
    generator: random.Random,
  ) -> None:
    """Creates a runner.

    Args:
      selector: Finds usable upstreams.
      dispatcher: Sends requests.
      traffic: Chooses versions and observes them.
      claimed: Claims idempotency keys.
      policy: Chooses among upstreams.
      generator: Source of random choices.
    """
    self._selector = selector
    self._dispatcher = dispatcher
    self._traffic = traffic
    self._claims = claimed
    self._policy = policy
    self._generator = generator

  async def run(
    self, action: ActionRequest
  ) -> Result[ActionAnswer, exceptions.BronzefoldError]:
    """Runs an action at most once.

    A caller that goes away does not cancel it.

    Args:
      action: The action.

    Returns:
      The outcome, or an error. It is a ``NotRunError`` only when no attempt
      with the key has run or will run on account of this request.
    """
    with anyio.CancelScope(shield=True):
      digest = claims.compute_digest(action.route, action.body)
      claimed = await self._claims.claim(
        action.document.service, action.key, digest, clock.read_wall()
      )
      if claimed.is_error():
        return Error(claimed.error)
      if isinstance(claimed.ok, claims.PriorAttempt):
        return await self._await_earlier(action, claimed.ok.record)
      return await self._run_claimed(action, claimed.ok)

  async def _run_claimed(
    self, action: ActionRequest, claim: claims.Claim
  ) -> Result[ActionAnswer, exceptions.BronzefoldError]:
    outcome = await self._send(action)
    if outcome.is_ok():
      delivered = outcome.ok
      await self._claims.finish(claim, delivered.status, delivered.body)
      return Ok(
        ActionAnswer(action.request, delivered.status, delivered.body, False)
      )
    if isinstance(outcome.error, exceptions.NotRunError):
      await self._claims.release(claim)
      return Error(outcome.error)
    events.CLAIM_UNRESOLVED.log(
      _logger,
      service=action.document.service,
      request=action.request,
      key=claim.key,
      reason=outcome.error.detail,
    )
    await self._claims.mark_unknown(claim)
    return Error(outcome.error)

  async def _await_earlier(
    self, action: ActionRequest, record: claims.ClaimRecord
  ) -> Result[ActionAnswer, exceptions.BronzefoldError]:
    """Waits for the outcome of an earlier attempt with the same key."""
    while record.state == claims.RUNNING:
      if clock.read_monotonic() + _EARLIER_POLL_S > action.deadline:
        return Error(exceptions.InProgressError("an earlier attempt runs"))
      await anyio.sleep(_EARLIER_POLL_S)
      try:
        current = await self._claims.read(action.document.service, action.key)
      except exceptions.StoreError as error:
        return Error(exceptions.OutcomeUnknownError(error.detail))
      if current is None:
        detail = "an earlier attempt was refused"
        return Error(exceptions.InProgressError(detail))
      record = current
    if record.state == claims.UNKNOWN:
      detail = "an earlier attempt has an unknown outcome"
      return Error(exceptions.OutcomeUnknownError(detail))
    return Ok(
      ActionAnswer(action.request, record.status, record.result.encode(), True)
    )

  async def _send(self, action: ActionRequest) -> dispatch.Outcome:
    """Sends an action; only a proved "not run" is tried again."""
    tried: set[str] = set()
    outcome: dispatch.Outcome = Error(
      exceptions.NoUpstreamError(action.document.service)
    )
    for attempt in range(_MAX_ATTEMPTS):
      now = clock.read_monotonic()
      if now + _MARGIN_S > action.deadline:
        break
      usable = self._selector.list_usable(action.document, now)
      untried = [u for u in usable if u.entry.name not in tried]
      if untried:
        chosen = self._choose(action, untried)
        tried.add(chosen.entry.name)
        outcome = await self._send_to(action, chosen, now)
      if outcome.is_ok() or not isinstance(
        outcome.error, exceptions.NotRunError
      ):
        return outcome
      await anyio.sleep(_RETRY_PAUSE_S * (attempt + 1))
    return outcome

  def _choose(
    self, action: ActionRequest, usable: Sequence[selection.UsableUpstream]
  ) -> selection.UsableUpstream:
    document = action.document
    version = self._traffic.choose_version(document, action.request)
    narrowed = self._traffic.filter_upstreams(document, usable, version)
    by_name = {u.entry.name: u for u in narrowed}
    now = clock.read_monotonic()
    candidates = [
      self._selector.make_candidate(u, 0.0, now) for u in by_name.values()
    ]
    return by_name[self._policy(candidates, self._generator).upstream]

  async def _send_to(
    self,
    action: ActionRequest,
    chosen: selection.UsableUpstream,
    now: clock.Seconds,
  ) -> dispatch.Outcome:
    outcome = await self._dispatcher.send(
      dispatch.UpstreamRequest(
        request=uuid.uuid4().hex,
        upstream=chosen.entry.name,
        path=f"/v1/actions/{action.route}",
        body=action.body,
        deadline=action.deadline,
        priority=action.document.routes[action.route].priority,
        key=action.key,
      ),
      now,
    )
    self._traffic.record_exchange(
      action.document,
      chosen.entry.version,
      action.route,
      outcome.error if outcome.is_error() else None,
      outcome.ok.took_s if outcome.is_ok() else 0.0,
      clock.read_monotonic(),
    )
    return outcome
