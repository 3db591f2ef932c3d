"""A node's lease, its registration and the claims attached to the lease."""

import unittest
from unittest import mock

import anyio

from bronzefold import store
from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.core import settings
from bronzefold.node import configuration
from bronzefold.node import session
from bronzefold.peers import membership


class LeasingStore:
  """Store calls used by a session; leases can lapse."""

  def __init__(self) -> None:
    self.revision = 10
    self.era = 0
    self.leases: set[int] = set()
    self.entries: dict[str, store.Entry] = {}
    self.fail_registration = False

  async def create_lease(self, ttl_s: float) -> store.Lease:
    lease = len(self.leases) + self.revision
    self.leases.add(lease)
    return store.Lease(lease, ttl_s)

  async def renew_lease(self, lease: int) -> None:
    if lease not in self.leases:
      raise exceptions.LeaseLapsedError(str(lease))

  async def revoke_lease(self, lease: int) -> None:
    self.leases.discard(lease)

  async def get(self, key: str) -> store.Entry | None:
    return self.entries.get(key)

  async def put(self, key: str, value: str, expected: int, lease: int) -> int:
    if self.fail_registration:
      raise exceptions.StoreUnavailableError("lost")
    self.revision += 1
    self.entries[key] = store.Entry(key, value, self.revision)
    return self.revision


class SessionTest(unittest.TestCase):
  """One node's session with a store in memory."""

  def setUp(self):
    self.store = LeasingStore()
    node_settings = settings.Settings(
      "n0", "a", "f", "s", "1.1.1.1:1", "1.1.1.1:2", ("1.1.1.1:3",)
    )
    member = membership.Member("n0", "a", "serving", "1.1.1.1:1", "1.1.1.1:2")
    members = membership.Membership(member, 2.5)
    self.session = session.StoreSession(
      node_settings, self.store, configuration.Configuration(), members
    )

  def run_lease(self, seconds: float = 0.05) -> None:
    async def run() -> None:
      with anyio.move_on_after(seconds):
        await self.session.run_lease()

    anyio.run(run)

  def test_lease_is_withheld_until_node_is_registered(self):
    self.store.fail_registration = True
    self.run_lease()
    self.assertIsNone(self.session.get_lease(0.0))
    self.store.fail_registration = False
    self.run_lease()
    self.assertIsNotNone(self.session.get_lease(0.0))

  def test_claims_of_earlier_process_are_not_under_lease(self):
    self.assertFalse(self.session.is_under_lease(10))
    self.run_lease()
    self.assertFalse(self.session.is_under_lease(10))
    self.assertFalse(self.session.is_under_lease(self.store.revision))
    self.assertTrue(self.session.is_under_lease(self.store.revision + 1))

  def test_claims_under_lapsed_lease_are_not_under_next_lease(self):
    self.run_lease()
    claim_revision = self.store.revision + 1
    self.store.revision = claim_revision
    self.assertTrue(self.session.is_under_lease(claim_revision))
    self.store.leases.clear()
    self.run_lease()
    self.assertIsNotNone(self.session.get_lease(0.0))
    self.assertFalse(self.session.is_under_lease(claim_revision))

  def test_rejected_lease_is_requested_without_a_pause(self):
    creations = []
    create_lease = self.store.create_lease

    async def create_and_forget(ttl_s: float) -> store.Lease:
      creations.append(ttl_s)
      lease = await create_lease(ttl_s)
      self.store.leases.clear()
      return lease

    async def reject(key: str, value: str, expected: int, lease: int) -> int:
      raise exceptions.LeaseLapsedError(str(lease))

    self.store.create_lease = create_and_forget
    self.store.put = reject
    self.run_lease(0.2)
    self.assertLessEqual(len(creations), 2)

  def test_lease_is_revoked_while_the_node_registers(self):
    """The stop of a node meets each call of a renewal."""
    for call in ("create_lease", "get", "put"):
      with self.subTest(call=call):
        self.setUp()
        self.interrupt(call)
        with self.assertNoLogs("bronzefold", "WARNING"):
          anyio.run(self.run_lease_to_its_end)
        self.assertIsNone(self.session.get_lease(0.0))
        self.assertEqual(self.store.leases, set())

  async def run_lease_to_its_end(self):
    with anyio.fail_after(3.0):
      await self.session.run_lease()

  def interrupt(self, name):
    """Makes the session revoke its lease while a call is in progress."""
    call = getattr(self.store, name)

    async def call_and_revoke(*arguments):
      result = await call(*arguments)
      await self.session.revoke_lease()
      return result

    setattr(self.store, name, call_and_revoke)

  def test_claim_is_made_while_a_lost_one_is_still_relied_on(self):
    self.store.era = 1
    self.run_lease()
    now = clock.read_monotonic()
    self.assertIsNotNone(self.session.get_lease_for_claims(now))
    self.store.era = 2
    self.run_lease()
    now = clock.read_monotonic()
    self.assertIsNotNone(self.session.get_lease(now))
    self.assertIsNone(self.session.get_lease_for_claims(now))
    later = now + defaults.LEASE_TTL_S
    lease = session.NodeLease(1, later + 1.0)
    with mock.patch.object(self.session, "get_lease", return_value=lease):
      self.assertIsNotNone(self.session.get_lease_for_claims(later))


if __name__ == "__main__":
  unittest.main()
