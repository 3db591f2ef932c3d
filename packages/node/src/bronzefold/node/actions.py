"""Actions: non-idempotent requests, which run at most once."""

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
from bronzefold.node import replies
from bronzefold.node import routing
from bronzefold.node import selection
from bronzefold.node import versions

_MAX_ATTEMPTS = 4
_RETRY_DELAY_STEP_S = 0.02
_PRIOR_ATTEMPT_POLL_S = 0.1
_MIN_ATTEMPT_TIME_S = 0.05

_logger = logging.getLogger(__name__)


@attrs.frozen
class ActionRequest:
  """An action requested by a caller.

  Attributes:
    request_id: Id of the request.
    document: Document of the service.
    route: Name of the route.
    key: The idempotency key.
    body: Body for the upstream, JSON.
    deadline: Monotonic time of the deadline, in seconds.
  """

  request_id: str
  document: documents.Document
  route: str
  key: str
  body: bytes
  deadline: clock.Seconds


@attrs.frozen
class ActionAnswer:
  """The outcome of an action that ran.

  Attributes:
    request_id: Id of the request.
    status: HTTP status of the upstream's reply.
    result: Body of the upstream's reply.
    repeated: Whether an earlier attempt with the same key ran the action.
  """

  request_id: str
  status: int
  result: bytes
  repeated: bool


class ActionRunner:
  """Runs the actions of a node, which has one runner."""

  def __init__(
    self,
    selector: selection.Selector,
    dispatcher: dispatch.Dispatcher,
    version_router: versions.VersionRouter,
    idempotency_claims: claims.Claims,
    policy: routing.Policy,
    generator: random.Random,
  ) -> None:
    """Creates a runner.

    Args:
      selector: Lists usable upstreams.
      dispatcher: Sends requests to upstreams.
      version_router: Chooses the version for a request and records the
        exchanges of each version.
      idempotency_claims: Claims idempotency keys.
      policy: Chooses one of several upstreams.
      generator: Source of random choices.
    """
    self._selector = selector
    self._dispatcher = dispatcher
    self._version_router = version_router
    self._idempotency_claims = idempotency_claims
    self._policy = policy
    self._generator = generator

  async def run(
    self, action: ActionRequest
  ) -> Result[ActionAnswer, exceptions.BronzefoldError]:
    """Runs an action at most once.

    The action continues if its caller disconnects.

    Args:
      action: The action.

    Returns:
      The outcome, or an error. The error is a ``NotRunError`` only if this
      request has caused no execution with the key and will cause none.
    """
    with anyio.CancelScope(shield=True):
      digest = claims.compute_digest(action.route, action.body)
      claim_result = await self._idempotency_claims.claim(
        action.document.service, action.key, digest, clock.read_wall()
      )
      if claim_result.is_error():
        return Error(claim_result.error)
      if isinstance(claim_result.ok, claims.PriorAttempt):
        return await self._await_prior_attempt(action, claim_result.ok.record)
      return await self._run_claimed(action, claim_result.ok)

  async def _run_claimed(
    self, action: ActionRequest, claim: claims.Claim
  ) -> Result[ActionAnswer, exceptions.BronzefoldError]:
    outcome = await self._send_with_retries(action)
    if outcome.is_ok():
      reply = outcome.ok
      await self._idempotency_claims.finish(claim, reply.status, reply.body)
      return Ok(
        ActionAnswer(action.request_id, reply.status, reply.body, False)
      )
    if isinstance(outcome.error, exceptions.NotRunError):
      await self._idempotency_claims.release(claim)
      return Error(outcome.error)
    events.CLAIM_UNRESOLVED.log(
      _logger,
      service=action.document.service,
      request=action.request_id,
      key=claim.key,
      reason=outcome.error.detail,
    )
    await self._idempotency_claims.mark_unknown(claim)
    return Error(outcome.error)

  async def _await_prior_attempt(
    self, action: ActionRequest, record: claims.ClaimRecord
  ) -> Result[ActionAnswer, exceptions.BronzefoldError]:
    """Waits until an earlier attempt with the same key has an outcome."""
    while record.state == claims.RUNNING:
      if clock.read_monotonic() + _PRIOR_ATTEMPT_POLL_S > action.deadline:
        return Error(
          exceptions.InProgressError(
            "an earlier attempt with the key was still running at the deadline"
          )
        )
      await anyio.sleep(_PRIOR_ATTEMPT_POLL_S)
      try:
        current = await self._idempotency_claims.read(
          action.document.service, action.key
        )
      except exceptions.StoreError as error:
        return Error(exceptions.OutcomeUnknownError(error.detail))
      if current is None:
        detail = "the claim of an earlier attempt with the key was deleted"
        return Error(exceptions.InProgressError(detail))
      record = current
    if record.state == claims.UNKNOWN:
      detail = "an earlier attempt with the key has an unknown outcome"
      return Error(exceptions.OutcomeUnknownError(detail))
    return Ok(
      ActionAnswer(
        action.request_id, record.status, record.result.encode(), True
      )
    )

  async def _send_with_retries(self, action: ActionRequest) -> dispatch.Outcome:
    """Sends an action, and retries it only if it certainly did not run."""
    tried: set[str] = set()
    outcome: dispatch.Outcome = Error(
      exceptions.NoUpstreamError(action.document.service)
    )
    for attempt in range(_MAX_ATTEMPTS):
      now = clock.read_monotonic()
      if now + _MIN_ATTEMPT_TIME_S > action.deadline:
        break
      usable = self._selector.list_usable(action.document, now)
      untried = [
        candidate for candidate in usable if candidate.entry.name not in tried
      ]
      if untried:
        upstream = self._choose_upstream(action, untried)
        tried.add(upstream.entry.name)
        outcome = await self._send_to_upstream(action, upstream, now)
      if outcome.is_ok() or not isinstance(
        outcome.error, exceptions.NotRunError
      ):
        return outcome
      await anyio.sleep(_RETRY_DELAY_STEP_S * (attempt + 1))
    return outcome

  def _choose_upstream(
    self, action: ActionRequest, usable: Sequence[selection.UsableUpstream]
  ) -> selection.UsableUpstream:
    document = action.document
    version = self._version_router.choose_version(document, action.request_id)
    filtered = self._version_router.filter_upstreams(document, usable, version)
    by_name = {upstream.entry.name: upstream for upstream in filtered}
    now = clock.read_monotonic()
    candidates = [
      self._selector.make_candidate(upstream, 0.0, now)
      for upstream in by_name.values()
    ]
    return by_name[self._policy(candidates, self._generator).upstream]

  async def _send_to_upstream(
    self,
    action: ActionRequest,
    upstream: selection.UsableUpstream,
    now: clock.Seconds,
  ) -> dispatch.Outcome:
    outcome = await self._dispatcher.send(
      dispatch.UpstreamRequest(
        exchange_id=uuid.uuid4().hex,
        upstream=upstream.entry.name,
        path=f"/v1/actions/{action.route}",
        body=action.body,
        deadline=action.deadline,
        priority=action.document.routes[action.route].priority,
        key=action.key,
      ),
      now,
    )
    if outcome.is_ok():
      outcome = replies.check_action_reply(outcome.ok)
    self._version_router.record_exchange(
      action.document,
      upstream.entry.version,
      action.route,
      outcome.error if outcome.is_error() else None,
      outcome.ok.took_s if outcome.is_ok() else 0.0,
      clock.read_monotonic(),
    )
    return outcome
