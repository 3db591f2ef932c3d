"""Election of the node that decides about versions, and its work."""

from __future__ import annotations

import anyio
import msgspec

from bronzefold import peers
from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.core import settings
from bronzefold.core.clock import Seconds
from bronzefold.node import burn
from bronzefold.node import claims
from bronzefold.node import configuration
from bronzefold.node import rollouts
from bronzefold.node import session
from bronzefold.node import versions
from bronzefold.peers import messages
from bronzefold.store import keys


class Leadership:
  """Claims the leader's key, decides while holding it, else reports."""

  def __init__(
    self,
    own: settings.Settings,
    client: store.StoreClient,
    held_session: session.StoreSession,
    config: configuration.Configuration,
    traffic: versions.VersionRouter,
    network: peers.PeerNetwork,
    recorder: burn.BurnRecorder,
    claimed: claims.Claims,
  ) -> None:
    """Creates a leadership that this node does not hold.

    Args:
      own: Settings of this node.
      client: The platform.
      held_session: This node's session with the platform.
      config: The configuration in force.
      traffic: Evidence about versions.
      network: Links to the other nodes.
      recorder: Counts for the burn report.
      claimed: Claims of idempotency keys.
    """
    self._own = own
    self._client = client
    self._session = held_session
    self._config = config
    self._traffic = traffic
    self._network = network
    self._recorder = recorder
    self._keeper = burn.BurnKeeper(client)
    self._claims = claimed
    self._kept_at: Seconds = 0.0
    self._cleaned_at: Seconds | None = None
    self._controller = rollouts.RolloutController(config, traffic, client)

  async def run(self) -> None:
    """Leads or reports to the leader until cancelled."""
    while True:
      await anyio.sleep(defaults.ROLLOUT_STEP_PERIOD_S)
      leader = self._config.leader
      if leader is None:
        await self._stand()
      elif leader.node == self._own.node:
        await self._lead(leader.term)
      else:
        self._report(leader.node)

  async def _stand(self) -> None:
    lease = self._session.get_lease(clock.read_monotonic())
    if lease is None:
      return
    record = configuration.LeaderRecord(self._own.node)
    value = msgspec.json.encode(record).decode()
    try:
      await self._client.put(keys.LEADER_KEY, value, 0, lease.lease)
    except exceptions.StoreError:
      return

  async def _lead(self, term: int) -> None:
    self._traffic.take_unsent()
    now = clock.read_monotonic()
    if self._session.get_lease(now) is None:
      return
    now_wall = clock.read_wall()
    await self._controller.run_once(term, now, now_wall)
    if now - self._kept_at > defaults.BURN_WRITE_PERIOD_S:
      self._kept_at = now
      await self._keeper.keep(self._recorder, now_wall)
    await self._clean_claims(now, now_wall)

  async def _clean_claims(self, now: Seconds, now_wall: Seconds) -> None:
    """Drops old claims, first some time after the election."""
    if self._cleaned_at is None:
      self._cleaned_at = now
    if now - self._cleaned_at < defaults.CLAIM_CLEANUP_PERIOD_S:
      return
    self._cleaned_at = now
    try:
      await self._claims.drop_expired(now_wall, defaults.CLAIM_RETENTION_S)
    except exceptions.StoreError:
      return

  def _report(self, leader: str) -> None:
    for (
      service,
      version,
      route,
    ), counts in self._traffic.take_unsent().items():
      self._network.send(
        leader,
        messages.Samples(
          service, version, route, counts.good, counts.failed, counts.slow
        ),
      )
