"""The node, which creates and connects all components of the process."""

from __future__ import annotations

import functools
import logging
import random
from typing import Any

import anyio
from anyio import abc
from expression import Error
from expression import Result
import msgspec

from bronzefold import callers
from bronzefold import peers
from bronzefold import store
from bronzefold.core import burn as core_burn
from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import memory
from bronzefold.core import metrics
from bronzefold.core import ranges
from bronzefold.core import settings
from bronzefold.core import stopping
from bronzefold.core import supervision
from bronzefold.node import actions
from bronzefold.node import admission
from bronzefold.node import burn
from bronzefold.node import claims
from bronzefold.node import configuration
from bronzefold.node import directory
from bronzefold.node import dispatch
from bronzefold.node import gossip
from bronzefold.node import leadership
from bronzefold.node import merges
from bronzefold.node import ownership
from bronzefold.node import reach
from bronzefold.node import routing
from bronzefold.node import search
from bronzefold.node import selection
from bronzefold.node import session
from bronzefold.node import status
from bronzefold.node import versions
from bronzefold.peers import membership

_OWNERSHIP_PERIOD_S = 0.1
_CLAIM_RETRY_PERIOD_S = 1.0  # ``claims`` relies on it after a restore
_DRAIN_POLL_PERIOD_S = 0.05
_ANSWER_MARGIN_S = 0.2  # time to send the last responses of a stop
# An idle server ends 0.4 s after `request_shutdown`.
_SERVER_STOP_TIMEOUT_S = 2.0

_logger = logging.getLogger(__name__)


class Node:
  """One node of the fleet.

  Attributes:
    max_body_bytes: Largest body of a request, in bytes.
    caller_memory: Memory of the bodies of all requests of callers.
    config: The configuration in force.
    members: The nodes of the fleet.
    upstream_directory: Reports and manifests of all upstreams.
  """

  def __init__(self, node_settings: settings.Settings) -> None:
    """Creates a node, which ``run`` starts.

    Args:
      node_settings: Settings of the node.

    Raises:
      SettingsError: The settings name an unknown routing policy.
    """
    policy = routing.get_policy(node_settings.routing_policy)
    if policy is None:
      raise exceptions.SettingsError(
        f"$.routing_policy: {node_settings.routing_policy!r} is not one of "
        + ", ".join(routing.list_policies())
      )
    self._settings = node_settings
    self.max_body_bytes = node_settings.max_body_bytes
    self.caller_memory = memory.MemoryBudget(
      node_settings.max_caller_memory_bytes
    )
    self._tasks: abc.TaskGroup | None = None
    self._stop_requested = anyio.Event()
    self._answer_by: clock.Seconds = stopping.RUNNING
    self._last_logged_contact: membership.FleetContact | None = None
    self._metrics = metrics.Metrics()
    self._burn_recorder = burn.BurnRecorder()
    self._admission = admission.AdmissionController(
      node_settings.max_searches, node_settings.max_searches
    )
    self.config = configuration.Configuration()
    self.upstream_directory = directory.UpstreamDirectory()
    self.members = membership.Membership(
      membership.Member(
        node_settings.node,
        node_settings.zone,
        membership.STARTING,
        node_settings.caller_address,
        node_settings.peer_address,
      ),
      node_settings.freshness_limit_s,
    )
    self._create_components(policy)

  def _create_components(self, policy: routing.Policy) -> None:
    node_settings = self._settings
    generator = random.Random(node_settings.node)
    self._store_client = store.StoreClient(node_settings.platform_addresses)
    self._session = session.StoreSession(
      node_settings, self._store_client, self.config, self.members
    )
    codec = peers.FrameCodec(
      node_settings.fleet, node_settings.secret, node_settings.node
    )
    self._network = peers.PeerNetwork(
      codec, node_settings.peer_address, self._handle_message
    )
    self._version_router = versions.VersionRouter(
      self.config, self._on_suspicion
    )
    self._selector = selection.Selector(
      self.config,
      self.upstream_directory,
      self.members,
      self._version_router.is_rolled_back,
    )
    self._ownership = ownership.Ownership(
      node_settings,
      self._store_client,
      self._session,
      self.config,
      self.upstream_directory,
      self.members,
      self._selector,
      self._publish_report,
      self._publish_manifest,
    )
    self._dispatcher = dispatch.Dispatcher(
      node_settings.node,
      self.upstream_directory,
      self._network,
      self._ownership,
    )
    self._searcher = search.Searcher(
      self._selector,
      self.upstream_directory,
      self._dispatcher,
      self._version_router,
      policy,
      generator,
    )
    self._idempotency_claims = claims.Claims(self._store_client)
    self._action_runner = actions.ActionRunner(
      self._selector,
      self._dispatcher,
      self._version_router,
      self._idempotency_claims,
      policy,
      generator,
    )
    self._gossip = gossip.Gossip(
      node_settings,
      self.config,
      self.upstream_directory,
      self.members,
      self._network,
      self._version_router,
      self._dispatcher,
      self._burn_recorder,
      self._searcher.suspects,
    )
    self._reach_monitor = reach.ReachMonitor(
      self.config, self._ownership, self.members, self._gossip.send_heartbeats
    )
    self._leadership = leadership.Leadership(
      node_settings,
      self._store_client,
      self._session,
      self.config,
      self._version_router,
      self._network,
      self._burn_recorder,
      self._idempotency_claims,
    )

  @property
  def should_close_connections(self) -> bool:
    """Whether responses should close their connections, as the node leaves."""
    return self.members.own_member.state == membership.LEAVING

  async def run(self) -> None:
    """Runs the node until ``stop`` is called and the shutdown has ended."""
    events.NODE_STARTED.log(
      _logger, node=self._settings.node, zone=self._settings.zone
    )
    server = callers.make_server(
      callers.make_application(self),
      self._settings.caller_address,
      self.caller_memory,
      self._settings.max_caller_connections,
    )
    try:
      async with anyio.create_task_group() as tasks:
        self._tasks = tasks
        self._start_background_tasks(tasks)
        tasks.start_soon(server.listen)
        await self._stop_requested.wait()
        await self._leave_fleet(tasks)
        server.request_shutdown()
        await self._drain()
        with anyio.move_on_after(_SERVER_STOP_TIMEOUT_S):
          await server.ended.wait()
        await self._session.revoke_lease()
        tasks.cancel_scope.cancel()
    finally:
      with anyio.CancelScope(shield=True):
        await self._store_client.close()
    events.NODE_STOPPED.log(_logger, node=self._settings.node)

  def stop(self) -> None:
    """Starts a graceful shutdown."""
    self._stop_requested.set()

  def _start_background_tasks(self, tasks: abc.TaskGroup) -> None:
    tasks.start_soon(self._network.run, tasks)
    for work in (
      self._session.run_lease,
      self._session.run_watch,
      self._session.run_vm_poll,
      self._gossip.run,
      self._leadership.run,
      self._run_ownership,
      self._reach_monitor.run,
      self._run_claim_retries,
    ):
      tasks.start_soon(supervision.supervise, work)

  async def _leave_fleet(self, tasks: abc.TaskGroup) -> None:
    """Withdraws the node from the address lists and releases its upstreams."""
    cut_at = clock.read_monotonic() + self._settings.stop_limit_s
    self._answer_by = cut_at - _ANSWER_MARGIN_S
    self.members.set_state(membership.LEAVING)
    events.NODE_LEAVING.log(_logger, node=self._settings.node)
    self._gossip.send_heartbeats()
    await anyio.sleep(self._settings.linger_s)
    await self._ownership.release_all(tasks)

  async def _drain(self) -> None:
    """Waits until no request is in progress, at most to the stop limit."""
    with anyio.move_on_after(
      self._settings.stop_limit_s - self._settings.linger_s
    ):
      while self._count_in_progress():
        await anyio.sleep(_DRAIN_POLL_PERIOD_S)
    unfinished = self._count_in_progress()
    if unfinished:
      events.STOP_CUT.log(
        _logger, node=self._settings.node, requests=unfinished
      )

  def _count_in_progress(self) -> int:
    """Counts requests of callers and pending requests of executors.

    A request of a caller that waits for an executor of this node counts twice.
    """
    pending = sum(
      executor.count_pending() for executor in self._ownership.list_executors()
    )
    return self._admission.in_progress + pending

  async def _run_ownership(self) -> None:
    """Applies the state of store, peers and VMs to this node periodically."""
    while True:
      now = clock.read_monotonic()
      self._start_serving_when_configured(now)
      self._log_contact_change(now)
      self._selector.set_leaving_addresses(self._session.leaving_vm_addresses)
      if not self._stop_requested.is_set():
        self._ownership.adopt_claims(self._tasks)
        await self._ownership.reconcile(self._tasks, now)
      await anyio.sleep(_OWNERSHIP_PERIOD_S)

  def _log_contact_change(self, now: clock.Seconds) -> None:
    contact = self.members.assess_contact(now)
    if contact is not self._last_logged_contact:
      self._last_logged_contact = contact
      events.CONTACT_CHANGED.log(_logger, contact=contact.value)

  def _start_serving_when_configured(self, now: clock.Seconds) -> None:
    if self.members.own_member.state != membership.STARTING:
      return
    if self.config.revision > 0:
      self.members.set_state(membership.SERVING)
      events.NODE_SERVING.log(_logger, node=self._settings.node)

  async def _run_claim_retries(self) -> None:
    while True:
      await self._idempotency_claims.retry_releases()
      await self._idempotency_claims.restore_lost(clock.read_monotonic())
      await anyio.sleep(_CLAIM_RETRY_PERIOD_S)

  async def _handle_message(self, sender: str, message: Any) -> None:
    handle = functools.partial(self._gossip.handle, sender, message)
    await supervision.run_guarded(handle)

  def _publish_report(self, report: peers.UpstreamReport) -> None:
    self._gossip.publish(report)

  def _publish_manifest(self, service: str, manifest: ranges.Manifest) -> None:
    if self.upstream_directory.record_manifest(service, manifest):
      self._gossip.publish(peers.ManifestReport(service, manifest))

  def _on_suspicion(self, rollout: versions.Rollout, reason: str) -> None:
    events.VERSION_SUSPECTED.log(
      _logger, service=rollout.service, version=rollout.version, reason=reason
    )
    self._gossip.publish(
      peers.Suspicion(
        rollout.service, rollout.version, rollout.start, rollout.by, reason
      )
    )

  async def search(
    self, request: str, service: str, route: str, body: callers.SearchBody
  ) -> callers.SearchReply:
    """Runs a search for a caller; see ``callers.NodeApi``."""
    document = self._find_document(service, route, "search")
    started_at = clock.read_monotonic()
    search_request = search.SearchRequest(
      request_id=request,
      document=document,
      route=route,
      query=bytes(body.query),
      options=_decode_merge_options(body.query),
      deadline=self._compute_deadline(
        document, body.deadline_ms, is_repeatable=True, now=started_at
      ),
      requires_complete=body.complete,
    )
    try:
      with self._admission.admit_search():
        result = await self._searcher.search(search_request)
    except exceptions.OverloadedError as error:
      result = Error(error)
    took_s = clock.read_monotonic() - started_at
    coverage = None if result.is_error() else result.ok.coverage
    self._record_request(document, route, result, took_s, coverage)
    if result.is_error():
      raise result.error
    return _make_search_reply(result.ok)

  async def act(
    self,
    request: str,
    service: str,
    route: str,
    key: str,
    body: bytes,
    deadline_ms: int | None,
  ) -> tuple[int, callers.ActionReply]:
    """Runs an action for a caller; see ``callers.NodeApi``."""
    document = self._find_document(service, route, "action")
    started_at = clock.read_monotonic()
    action_request = actions.ActionRequest(
      request_id=request,
      document=document,
      route=route,
      key=key,
      body=body,
      deadline=self._compute_deadline(
        document, deadline_ms, is_repeatable=False, now=started_at
      ),
    )
    try:
      with self._admission.admit_action():
        result = await self._action_runner.run(action_request)
    except exceptions.OverloadedError as error:
      result = Error(error)
    took_s = clock.read_monotonic() - started_at
    self._record_request(document, route, result, took_s, None)
    if result.is_error():
      raise result.error
    answer = result.ok
    reply = callers.ActionReply(
      request=answer.request_id,
      outcome="ran",
      repeated=answer.repeated,
      result=msgspec.Raw(answer.result),
    )
    return answer.status, reply

  def _record_request(
    self,
    document: documents.Document,
    route: str,
    result: Result[Any, exceptions.BronzefoldError],
    took_s: clock.Seconds,
    coverage: ranges.Coverage | None,
  ) -> None:
    """Records a finished request in the metrics and the burn counts."""
    service = document.service
    outcome = result.error.code if result.is_error() else "ok"
    self._metrics.record_request(service, route, outcome, took_s)
    if coverage is not None:
      share = coverage.covered / max(1, coverage.total or 1)
      self._metrics.record_coverage(service, share)
    is_late = took_s > document.objectives.latency_ms / 1e3
    is_incomplete = coverage is not None and not coverage.is_complete
    counts = core_burn.RequestCounts(
      total=1,
      failed=int(result.is_error()),
      slow=int(result.is_ok() and is_late),
      incomplete=int(is_incomplete),
    )
    self._burn_recorder.record_counts(service, route, counts)

  def list_addresses(self, zone: str) -> callers.AddressesReply:
    """Lists the nodes that callers may use, those of a zone first.

    See ``callers.NodeApi``.
    """
    serving = self.members.list_serving(clock.read_monotonic())
    ordered = sorted(serving, key=lambda member: member.zone != zone)
    return callers.AddressesReply(
      addresses=tuple(
        callers.Address(member.caller_address, member.zone)
        for member in ordered
      ),
      keep_s=self._settings.addresses_keep_s,
    )

  def describe_status(self) -> status.NodeStatus:
    """Returns the status of the node."""
    now = clock.read_monotonic()
    keys = store.keys
    alive_peers = [
      member.node
      for member in self.members.list_others()
      if self.members.is_alive(member.node, now)
    ]
    return status.NodeStatus(
      node=self._settings.node,
      zone=self._settings.zone,
      state=self.members.own_member.state,
      contact=self.members.assess_contact(now).value,
      config_revision=self.config.revision,
      documents={
        name: self.config.get_revision(keys.DOCUMENT_PREFIX + name)
        for name in self.config.documents
      },
      zones={
        name: self.config.get_revision(keys.ZONE_PREFIX + name)
        for name in self.config.zones
      },
      leader=self.config.leader.node if self.config.leader else "",
      peers=tuple(alive_peers),
      searches=self._admission.searches,
      actions=self._admission.actions,
      refused=self._admission.refused,
      control_bytes_sent=self._network.control_bytes_sent,
      platform_calls=self._store_client.calls,
      upstreams=tuple(self._ownership.describe_upstreams()),
      moves=tuple(self._version_router.describe_rollouts()),
    )

  def render_metrics(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
    """Renders the metrics; see ``callers.NodeApi``."""
    node_status = self.describe_status()
    for name in ("searches", "actions", "refused", "platform_calls"):
      self._metrics.set_gauge(name, getattr(node_status, name))
    self._metrics.set_gauge(
      "control_bytes_sent", node_status.control_bytes_sent
    )
    self._metrics.set_gauge("config_revision", node_status.config_revision)
    self._metrics.set_gauge("upstreams_owned", len(node_status.upstreams))
    return self._metrics.render(accept)

  def _find_document(
    self, service: str, route: str, kind: str
  ) -> documents.Document:
    self._check_ready()
    document = self.config.documents.get(service)
    if document is None:
      raise exceptions.UnknownServiceError(
        f"no document describes service {service!r}"
      )
    found_route = document.routes.get(route)
    if found_route is None or found_route.kind != kind:
      raise exceptions.UnknownRouteError(
        f"the service has no {kind} route {route!r}"
      )
    return document

  def _compute_deadline(
    self,
    document: documents.Document,
    deadline_ms: int | None,
    is_repeatable: bool,
    now: clock.Seconds,
  ) -> clock.Seconds:
    """Computes the deadline of a request, which ends before a stop does.

    Args:
      document: Document of the service.
      deadline_ms: Deadline that the caller states, in milliseconds.
      is_repeatable: True if the request may run more than once.
      now: Monotonic time.

    Returns:
      The monotonic time of the deadline.

    Raises:
      BadRequestError: The stated deadline is out of range.
      StoppingError: The node stops before the request is likely to finish.
    """
    time_limit_ms = (
      document.limits.deadline_ms if deadline_ms is None else deadline_ms
    )
    if not 1 <= time_limit_ms <= defaults.MAX_DEADLINE_MS:
      raise exceptions.BadRequestError(
        f"deadline_ms must be between 1 and {defaults.MAX_DEADLINE_MS}"
      )
    demand = stopping.Demand(
      document.objectives.latency_ms / 1e3, time_limit_ms / 1e3, is_repeatable
    )
    if not stopping.may_accept(demand, self._answer_by, now):
      raise exceptions.StoppingError("the node stops too soon for the request")
    return stopping.limit_deadline(now + time_limit_ms / 1e3, self._answer_by)

  def _check_ready(self) -> None:
    if self.members.own_member.state == membership.STARTING:
      raise exceptions.NotReadyError(
        "no configuration has been received from the store or a peer"
      )
    contact = self.members.assess_contact(clock.read_monotonic())
    if contact is membership.FleetContact.ISOLATED:
      raise exceptions.NotReadyError(
        "no recent contact with the store, and at most half of the"
        " fleet's nodes are alive"
      )


def _decode_merge_options(query: msgspec.Raw) -> merges.MergeOptions:
  try:
    options = msgspec.json.decode(query, type=merges.MergeOptions)
  except (msgspec.MsgspecError, RecursionError) as error:
    raise exceptions.BadRequestError(f"query: {error}") from error
  if not 1 <= options.limit <= merges.MAX_ROW_LIMIT:
    raise exceptions.BadRequestError(
      f"query.limit must be between 1 and {merges.MAX_ROW_LIMIT}"
    )
  return options


def _make_search_reply(answer: search.SearchAnswer) -> callers.SearchReply:
  coverage = answer.coverage
  return callers.SearchReply(
    request=answer.request_id,
    snapshot=answer.snapshot,
    taken_at=answer.taken_at,
    complete=coverage.is_complete,
    coverage=callers.CoverageBody(
      covered=coverage.covered,
      total=coverage.total,
      missing=tuple((r.low, r.high) for r in coverage.missing),
    ),
    hedges=answer.hedges,
    retries=answer.retries,
    result=msgspec.Raw(msgspec.json.encode(answer.result)),
  )
