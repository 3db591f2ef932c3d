"""Election of the node that controls rollouts, and the duties of the leader."""

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
  """Claims the leadership, leads while holding it, else sends samples."""

  def __init__(
    self,
    node_settings: settings.Settings,
    client: store.StoreClient,
    store_session: session.StoreSession,
    config: configuration.Configuration,
    version_router: versions.VersionRouter,
    network: peers.PeerNetwork,
    burn_recorder: burn.BurnRecorder,
    idempotency_claims: claims.Claims,
  ) -> None:
    """Creates the leadership; this node is not the leader yet.

    Args:
      node_settings: Settings of this node.
      client: Client of the store.
      store_session: This node's session with the store.
      config: The configuration in force.
      version_router: Holds the evidence about versions.
      network: Links to the other nodes.
      burn_recorder: Request counts for the burn report.
      idempotency_claims: Claims of idempotency keys.
    """
    self._settings = node_settings
    self._client = client
    self._session = store_session
    self._config = config
    self._version_router = version_router
    self._network = network
    self._burn_recorder = burn_recorder
    self._burn_writer = burn.BurnHistoryWriter(client)
    self._idempotency_claims = idempotency_claims
    self._burn_saved_at: Seconds = 0.0
    self._expired_claims_deleted_at: Seconds | None = None
    self._rollout_controller = rollouts.RolloutController(
      config, version_router, client
    )

  async def run(self) -> None:
    """Leads, or sends samples to the leader, until cancelled."""
    while True:
      await anyio.sleep(defaults.ROLLOUT_STEP_PERIOD_S)
      leader = self._config.leader
      if leader is None:
        await self._claim_leadership()
      elif leader.node == self._settings.node:
        await self._run_leader_duties(leader.term)
      else:
        self._send_samples(leader.node)

  async def _claim_leadership(self) -> None:
    lease = self._session.get_lease_for_claims(clock.read_monotonic())
    if lease is None:
      return
    record = configuration.LeaderRecord(self._settings.node)
    value = msgspec.json.encode(record).decode()
    try:
      await self._client.put(keys.LEADER_KEY, value, 0, lease.lease_id)
    except exceptions.StoreError:
      return

  async def _run_leader_duties(self, term: int) -> None:
    # The leader's own counts are in its evidence already.
    self._version_router.pop_unsent_counts()
    now = clock.read_monotonic()
    if self._session.get_lease(now) is None:
      return
    now_wall = clock.read_wall()
    await self._rollout_controller.advance_rollouts(term, now, now_wall)
    if now - self._burn_saved_at > defaults.BURN_WRITE_PERIOD_S:
      self._burn_saved_at = now
      await self._burn_writer.save_counts(self._burn_recorder, now_wall)
    await self._delete_expired_claims(now, now_wall)

  async def _delete_expired_claims(
    self, now: Seconds, now_wall: Seconds
  ) -> None:
    """Deletes expired claims, first one period after the first call."""
    if self._expired_claims_deleted_at is None:
      self._expired_claims_deleted_at = now
    if now - self._expired_claims_deleted_at < defaults.CLAIM_CLEANUP_PERIOD_S:
      return
    self._expired_claims_deleted_at = now
    try:
      await self._idempotency_claims.delete_expired(
        now_wall, defaults.CLAIM_RETENTION_S
      )
    except exceptions.StoreError:
      return

  def _send_samples(self, leader: str) -> None:
    for (
      service,
      version,
      route,
    ), sample_counts in self._version_router.pop_unsent_counts().items():
      self._network.send(
        leader,
        messages.Samples(
          service,
          version,
          route,
          sample_counts.good,
          sample_counts.failed,
          sample_counts.slow,
        ),
      )
