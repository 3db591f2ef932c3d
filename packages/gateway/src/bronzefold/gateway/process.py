"""The process of a gateway node: servers, signals and background tasks."""

from __future__ import annotations

from collections.abc import Callable
import faulthandler
import gc
import logging
import signal
import sys
from typing import Any

import anyio
from anyio import abc
import attrs
import uvicorn

from bronzefold import peers
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
from bronzefold.gateway import replica
from bronzefold.gateway import sending
from bronzefold.gateway import settings
from bronzefold.gateway import writer
from bronzefold.peers import membership

STORE_TIMEOUT_S = 1.0  # 250 times a usual reply
LINGER_S = 2.5  # callers keep an answer of the directory for 1 s, some for 3 s
STOP_MARGIN_S = 0.5  # for the end of the process itself
SETTINGS_PERIOD_S = 3.0
FLEET = "gateway"
BACKLOG = 512

_EXIT_BAD_SETTINGS = 2
_COLLECTOR_THRESHOLDS = (20_000, 20, 50)

_logger = logging.getLogger(__name__)


@attrs.frozen
class PlatformAdapter:
  """Everything that knows the formats of the platform around a node.

  Attributes:
    load_settings: Reads the settings file.
    read_change: Reads an entry of the store.
    encode_record: Writes the state of a move as an entry of the store.
    store_dialect: Writes and reads calls to the store.
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
  """One node."""

  def __init__(
    self,
    translation: PlatformAdapter,
    own: settings.GatewaySettings,
    tasks: abc.TaskGroup,
  ) -> None:
    """Creates a node; ``run`` serves.

    Args:
      translation: Formats of the platform.
      own: Settings.
      tasks: Task group for background work.
    """
    self._translation = translation
    self._own = own
    self._tasks = tasks
    self._gateway = gateways.Gateway(own, translation.upstream_protocol, tasks)
    member = membership.Member(
      node=own.node,
      zone=own.zone,
      state=membership.STARTING,
      caller_address=own.request_address,
      peer_address=own.peer_address,
      capacity=own.capacity,
    )
    self._members = membership.Membership(
      member, follower.MAX_STORE_AGE_S, coordinator.ALIVE_TIMEOUT_S
    )
    copy = replica.Replica(
      self._gateway, self._members, translation.read_change
    )
    client = store.StoreClient(
      [own.store_address], STORE_TIMEOUT_S, translation.store_dialect
    )
    self._network = peers.PeerNetwork(
      peers.FrameCodec(FLEET, "", own.node), own.peer_address, self._handle
    )
    self._fleet = coordinator.FleetCoordinator(
      self._members, self._network, copy, self._gateway, own.seed_peers
    )
    self._follower = follower.StoreFollower(
      client, copy, self._members, self._fleet.is_updated_by_hubs
    )
    self._writer = writer.RolloutWriter(
      client, self._gateway.rollouts, self._fleet, translation.encode_record
    )
    self._application = application.Application(
      own, self._gateway, self._fleet, translation.caller_protocol
    )
    self._server = servers.GracefulServer(self._make_server_config())

  async def run(self) -> None:
    """Serves until a signal stops the node."""
    events.NODE_STARTED.log(_logger, node=self._own.node, zone=self._own.zone)
    sockets = self._application.open_sockets(BACKLOG)
    self._members.set_state(membership.SERVING)
    self._tasks.start_soon(self._network.run, self._tasks)
    self._tasks.start_soon(supervision.supervise, self._fleet.run)
    self._tasks.start_soon(self._handle_signals)
    self._tasks.start_soon(supervision.supervise, self._follower.run_watch)
    self._tasks.start_soon(supervision.supervise, self._follower.run_lease)
    self._tasks.start_soon(supervision.supervise, self._writer.run)
    self._tasks.start_soon(supervision.supervise, self._follow_settings)
    await self._server.serve(sockets=sockets)
    events.NODE_STOPPED.log(_logger, node=self._own.node)

  async def _handle(self, sender: str, message: Any) -> None:
    await self._fleet.handle_message(sender, message)

  async def _handle_signals(self) -> None:
    with anyio.open_signal_receiver(
      signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
      async for number in received:
        if number == signal.SIGHUP:
          self._reload()
        else:
          break
    await self._leave()

  async def _follow_settings(self) -> None:
    """Applies changes of the settings file that come without a signal."""
    while True:
      await anyio.sleep(SETTINGS_PERIOD_S)
      self._reload()

  def _reload(self) -> None:
    try:
      own = self._translation.load_settings()
    except exceptions.SettingsError as error:
      events.SETTINGS_REFUSED.log(_logger, reason=error.detail)
      return
    if own == self._own:
      return
    self._own = own
    self._gateway.update_settings(own)
    events.SETTINGS_RELOADED.log(_logger, node=own.node)

  async def _leave(self) -> None:
    """Goes out of the directory at once, then stops accepting."""
    events.NODE_LEAVING.log(_logger, node=self._own.node)
    self._fleet.leave(clock.read_monotonic())
    self._application.is_leaving = True
    self._tasks.start_soon(self._follower.leave)
    await anyio.sleep(LINGER_S)
    self._server.request_shutdown()

  def _make_server_config(self) -> _ServerConfig:
    last_s = LINGER_S + servers.FIRST_REQUEST_WAIT_S + STOP_MARGIN_S
    rest_s = self._own.stop_limit_s - last_s
    return _ServerConfig(
      self._gateway.get_caller_limits,
      self._application,
      log_config=None,
      access_log=False,
      http=connections.make_connection_class(self._gateway.get_caller_limits),
      ws="none",
      lifespan="off",
      proxy_headers=False,
      server_header=False,
      date_header=False,
      timeout_graceful_shutdown=max(1.0, rest_s),
      backlog=BACKLOG,
    )


class _ServerConfig(uvicorn.Config):
  """Takes the limit on idle connections from the configuration in force."""

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
    """Returns the limit in seconds, asked for at each new connection."""
    return self._get_limits().idle_timeout_s

  @timeout_keep_alive.setter
  def timeout_keep_alive(self, _: float) -> None:
    """Ignores uvicorn's default."""


async def _run(
  translation: PlatformAdapter, own: settings.GatewaySettings
) -> None:
  gc.collect()
  gc.freeze()
  gc.set_threshold(*_COLLECTOR_THRESHOLDS)
  async with anyio.create_task_group() as tasks:
    await NodeProcess(translation, own, tasks).run()
    tasks.cancel_scope.cancel()


def run_node(translation: PlatformAdapter) -> int:
  """Runs a node until it is stopped.

  Args:
    translation: Formats of the platform.

  Returns:
    The exit code: 0 after a graceful stop, 2 for invalid settings.
  """
  faulthandler.enable()  # a crash in an extension is told on standard error
  handler = logs.configure_logs()
  try:
    own = translation.load_settings()
  except exceptions.SettingsError as error:
    print(error.detail, file=sys.stderr)
    return _EXIT_BAD_SETTINGS
  handler.node = own.node
  anyio.run(_run, translation, own, backend_options={"use_uvloop": True})
  return 0
