"""The process of a gateway node: server, signals and background tasks."""

from __future__ import annotations

from collections.abc import Callable
import faulthandler
import functools
import gc
import logging
import signal
import sys
import time
from typing import Any

import anyio
from anyio import abc
import attrs
import uvicorn

from bronzefold import peers
from bronzefold import signals
from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import logs
from bronzefold.core import servers
from bronzefold.core import supervision
from bronzefold.gateway import application
from bronzefold.gateway import connections
from bronzefold.gateway import coordinator
from bronzefold.gateway import follower
from bronzefold.gateway import gateway as gateways
from bronzefold.gateway import model
from bronzefold.gateway import reach
from bronzefold.gateway import registration
from bronzefold.gateway import replica
from bronzefold.gateway import sending
from bronzefold.gateway import settings
from bronzefold.gateway import writer
from bronzefold.peers import membership
from bronzefold.signals import receiver

STORE_TIMEOUT_S = 1.0  # 250 times a typical response time
# Callers cache the directory, which lists this node, for 1 s, some for 3 s.
DIRECTORY_CACHE_WAIT_S = 2.5
STOP_MARGIN_S = 0.5  # time for the process to exit
ANSWER_MARGIN_S = 0.2  # time to send the last responses
RELAYED_RECHECK_DELAY_S = 0.02
MIN_DRAIN_S = 1.0  # time for requests in progress, whatever the stop limit
SETTINGS_POLL_PERIOD_S = 3.0
FIRST_SETTINGS_WAIT_S = 1.0  # a file of a few KB is written within milliseconds
FIRST_SETTINGS_RETRY_DELAY_S = 0.1
FLEET_NAME = "gateway"
# The others are for upstreams, other nodes, the store and files.
CALLER_DESCRIPTORS_SHARE = 0.6
DIRECTORY_DESCRIPTORS_SHARE = 0.1
PROBE_DESCRIPTORS_SHARE = 0.02  # for readiness checks, and for metrics
BACKLOG = 512

_EXIT_BAD_SETTINGS = 2
_GC_THRESHOLDS = (20_000, 20, 50)

_logger = logging.getLogger(__name__)


@attrs.frozen
class PlatformAdapter:
  """Translates between the gateway and the formats of the platform.

  Attributes:
    load_settings: Loads the settings file.
    read_change: Decodes an entry of the store.
    encode_record: Encodes the state of a rollout as an entry of the store.
    store_dialect: Encodes calls to the store and decodes their results.
    upstream_protocol: Wire format towards upstreams.
    caller_protocol: Wire format towards callers.
  """

  load_settings: Callable[[], settings.GatewaySettings]
  read_change: replica.ReadChange
  encode_record: writer.EncodeRecord
  store_dialect: store.Dialect
  upstream_protocol: sending.UpstreamProtocol
  caller_protocol: application.CallerProtocol


class NodeProcess:
  """A gateway node."""

  def __init__(
    self,
    adapter: PlatformAdapter,
    node_settings: settings.GatewaySettings,
    signal_queue: signals.SignalQueue,
    tasks: abc.TaskGroup,
  ) -> None:
    """Creates a node; ``run`` serves.

    Args:
      adapter: Formats of the platform.
      node_settings: Settings of this node.
      signal_queue: Signals of this process.
      tasks: Task group for background work.
    """
    self._adapter = adapter
    self._signals = signal_queue
    self._opening = anyio.CancelScope()  # until the node listens
    self._settings = node_settings
    self._tasks = tasks
    self._gateway = gateways.Gateway(
      node_settings, adapter.upstream_protocol, tasks
    )
    member = membership.Member(
      node=node_settings.node,
      zone=node_settings.zone,
      state=membership.STARTING,
      caller_address=node_settings.request_address,
      peer_address=node_settings.peer_address,
      capacity=node_settings.capacity,
      reaches_upstreams=False,  # until a check shows that it does
    )
    self._members = membership.Membership(
      member, follower.MAX_STORE_AGE_S, coordinator.HEARTBEAT_TIMEOUT_S
    )
    store_replica = replica.Replica(
      self._gateway, self._members, adapter.read_change
    )
    store_client = store.StoreClient(
      [node_settings.store_address], STORE_TIMEOUT_S, adapter.store_dialect
    )
    self._network = peers.PeerNetwork(
      peers.FrameCodec(FLEET_NAME, "", node_settings.node),
      node_settings.peer_address,
      self._handle_message,
    )
    self._fleet = coordinator.FleetCoordinator(
      self._members,
      self._network,
      store_replica,
      self._gateway,
      node_settings.seed_peers,
    )
    self._follower = follower.StoreFollower(
      store_client,
      store_replica,
      self._members,
      self._fleet.must_read_store,
      self._fleet.get_watch_wait,
    )
    self._reach_checker = reach.ReachChecker(
      self._gateway.path, self._gateway.upstreams, self._fleet.set_reach
    )
    self._registrar = registration.Registrar(
      store_client, store_replica, self._members, self._fleet
    )
    self._writer = writer.RolloutWriter(
      store_client, self._gateway.rollouts, self._fleet, adapter.encode_record
    )
    self._application = application.Application(
      node_settings, self._gateway, self._fleet, adapter.caller_protocol
    )
    self._server = servers.GracefulServer(self._make_server_config())

  async def run(self) -> None:
    """Serves until a signal stops the node and requests have finished."""
    events.NODE_STARTED.log(
      _logger, node=self._settings.node, zone=self._settings.zone
    )
    self._tasks.start_soon(supervision.supervise, self._handle_signals)
    with self._opening:
      sockets = await self._application.open_sockets(BACKLOG)
    if self._opening.cancelled_caught:
      events.NODE_STOPPED.log(_logger, node=self._settings.node)
      return
    self._members.set_state(membership.SERVING)
    self._tasks.start_soon(self._network.run, self._tasks)
    self._tasks.start_soon(supervision.supervise, self._fleet.run)
    self._tasks.start_soon(supervision.supervise, self._follower.run)
    self._tasks.start_soon(supervision.supervise, self._registrar.run)
    self._tasks.start_soon(supervision.supervise, self._writer.run)
    self._tasks.start_soon(supervision.supervise, self._poll_settings)
    self._tasks.start_soon(supervision.supervise, self._reach_checker.run)
    self._tasks.start_soon(supervision.supervise, self._listen_for_metrics)
    await self._server.serve(sockets=sockets)
    await self._finish_relayed()
    events.NODE_STOPPED.log(_logger, node=self._settings.node)

  async def _listen_for_metrics(self) -> None:
    listener = await self._application.open_metrics_socket(BACKLOG)
    await self._server.add_listener(listener)

  async def _handle_message(self, sender: str, message: Any) -> None:
    handle = functools.partial(self._fleet.handle_message, sender, message)
    await supervision.run_guarded(handle)

  async def _handle_signals(self) -> None:
    """Handles signals until the process exits, also during a stop."""
    async for number in receiver.receive_signals(self._signals):
      if number == signal.SIGHUP:
        self._reload_settings()
      elif not self._application.is_leaving:
        self._start_leaving()

  async def _finish_relayed(self) -> None:
    """Waits for requests of other nodes, which come over no caller connection.

    Their responses are due before the limit of a graceful stop.
    """
    while (
      self._fleet.relay.in_progress
      and clock.read_monotonic() < self._gateway.answer_by
    ):
      await anyio.sleep(RELAYED_RECHECK_DELAY_S)
    await anyio.sleep(RELAYED_RECHECK_DELAY_S)  # for the last response

  async def _poll_settings(self) -> None:
    """Polls the settings file for changes made without a signal."""
    while True:
      await anyio.sleep(SETTINGS_POLL_PERIOD_S)
      self._reload_settings()

  def _reload_settings(self) -> None:
    try:
      node_settings = self._adapter.load_settings()
    except exceptions.SettingsError as error:
      events.SETTINGS_REFUSED.log(_logger, reason=error.detail)
      return
    if node_settings == self._settings:
      return
    self._settings = node_settings
    self._gateway.update_settings(node_settings)
    events.SETTINGS_RELOADED.log(_logger, node=node_settings.node)

  def _start_leaving(self) -> None:
    """Leaves the directory at once, and later stops accepting requests.

    A node that does not listen yet has nothing to finish.
    """
    self._opening.cancel()
    now = clock.read_monotonic()
    cut_at = now + max(
      DIRECTORY_CACHE_WAIT_S + servers.FIRST_REQUEST_WAIT_S + MIN_DRAIN_S,
      self._settings.stop_limit_s - STOP_MARGIN_S,
    )
    events.NODE_LEAVING.log(_logger, node=self._settings.node)
    self._fleet.leave(now)
    self._gateway.answer_by = cut_at - ANSWER_MARGIN_S
    self._application.is_leaving = True
    self._registrar.leave()
    self._tasks.start_soon(self._shut_down, cut_at)

  async def _shut_down(self, cut_at: clock.Seconds) -> None:
    await anyio.sleep(DIRECTORY_CACHE_WAIT_S)
    self._server.request_shutdown(cut_at)

  def _get_max_connections(self) -> dict[int, int]:
    """Returns how many connections each port may have open."""
    node_settings = self._settings
    shares = {
      node_settings.request_address: CALLER_DESCRIPTORS_SHARE,
      node_settings.directory_address: DIRECTORY_DESCRIPTORS_SHARE,
      node_settings.readiness_address: PROBE_DESCRIPTORS_SHARE,
      node_settings.metrics_address: PROBE_DESCRIPTORS_SHARE,
    }
    return {
      application.read_port(address): int(share * node_settings.max_descriptors)
      for address, share in shares.items()
    }

  def _make_server_config(self) -> _ServerConfig:
    return _ServerConfig(
      self._gateway.get_caller_limits,
      self._application,
      log_config=None,
      access_log=False,
      http=connections.make_connection_class(
        self._gateway.get_caller_limits,
        self._get_max_connections(),
        self._gateway.memory,
      ),
      ws="none",
      lifespan="off",
      proxy_headers=False,
      server_header=False,
      date_header=False,
      backlog=BACKLOG,
    )


class _ServerConfig(uvicorn.Config):
  """A uvicorn configuration with the idle timeout in force for callers."""

  def __init__(
    self,
    get_limits: Callable[[], model.CallerLimits],
    application: object,
    **options: Any,
  ) -> None:
    self._get_limits = get_limits
    super().__init__(application, **options)

  @property
  def timeout_keep_alive(self) -> float:
    """Idle timeout in seconds; uvicorn reads it for each new connection."""
    return self._get_limits().idle_timeout_s

  @timeout_keep_alive.setter
  def timeout_keep_alive(self, _: float) -> None:
    """Ignores the default that uvicorn sets."""


async def _run(
  adapter: PlatformAdapter,
  node_settings: settings.GatewaySettings,
  signal_queue: signals.SignalQueue,
) -> None:
  # Full collections pause all requests; this makes them short and rare.
  gc.collect()
  gc.freeze()
  gc.set_threshold(*_GC_THRESHOLDS)
  gc.enable()
  async with anyio.create_task_group() as tasks:
    await NodeProcess(adapter, node_settings, signal_queue, tasks).run()
    tasks.cancel_scope.cancel()


def _load_first_settings(
  adapter: PlatformAdapter, now: clock.Seconds
) -> settings.GatewaySettings:
  """Loads the settings; waits a moment for a file that is being written.

  Args:
    adapter: Formats of the platform.
    now: Monotonic time.

  Returns:
    The settings.

  Raises:
    SettingsError: The file is still invalid.
  """
  deadline = now + FIRST_SETTINGS_WAIT_S
  while True:
    try:
      return adapter.load_settings()
    except exceptions.SettingsError as error:
      if clock.read_monotonic() > deadline:
        raise
      events.SETTINGS_REFUSED.log(_logger, reason=error.detail)
    time.sleep(FIRST_SETTINGS_RETRY_DELAY_S)


def run_node(
  adapter: PlatformAdapter, signal_queue: signals.SignalQueue
) -> int:
  """Runs a node until it is stopped.

  Args:
    adapter: Formats of the platform.
    signal_queue: Signals of this process, recorded since it started.

  Returns:
    The exit code: 0 after a graceful stop, 2 for invalid settings.
  """
  faulthandler.enable()  # a crash in an extension prints to standard error
  handler = logs.configure_logs()
  try:
    node_settings = _load_first_settings(adapter, clock.read_monotonic())
  except exceptions.SettingsError as error:
    print(error.detail, file=sys.stderr)
    return _EXIT_BAD_SETTINGS
  handler.node = node_settings.node
  if not signal_queue.has_stop:
    anyio.run(
      _run,
      adapter,
      node_settings,
      signal_queue,
      backend_options={"use_uvloop": True},
    )
  signal_queue.ignore()
  return 0
