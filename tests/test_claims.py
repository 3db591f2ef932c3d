"""Claims of idempotency keys in a store in memory."""

import unittest

import anyio

from bronzefold import store
from bronzefold.core import exceptions
from bronzefold.node import claims


class MemoryStore:
  """Store calls used by claims; a reply can be lost after its effect."""

  def __init__(self) -> None:
    self.entries: dict[str, store.Entry] = {}
    self.revision = 0
    self.era = 0
    self.lose_next_reply = False
    self.is_down = False

  def _check_up(self) -> None:
    if self.is_down:
      raise exceptions.StoreUnavailableError("down")

  async def get(self, key: str) -> store.Entry | None:
    self._check_up()
    return self.entries.get(key)

  async def list_prefix(self, prefix: str) -> store.Listing:
    entries = [e for k, e in self.entries.items() if k.startswith(prefix)]
    return store.Listing(self.revision, tuple(entries))

  async def put(self, key: str, value: str, expected: int) -> int:
    self._check_up()
    self._check_revision(key, expected)
    self.revision += 1
    self.entries[key] = store.Entry(key, value, self.revision)
    if self.lose_next_reply:
      self.lose_next_reply = False
      raise exceptions.StoreUnavailableError("lost")
    return self.revision

  async def delete(self, key: str, expected: int) -> None:
    self._check_up()
    self._check_revision(key, expected)
    self.revision += 1
    del self.entries[key]

  def _check_revision(self, key: str, expected: int) -> None:
    entry = self.entries.get(key)
    if expected != (entry.revision if entry else 0):
      revision = entry.revision if entry else 0
      value = entry.value.encode() if entry else b""
      raise exceptions.ConflictError(key, revision, value)


class ClaimsTest(unittest.TestCase):
  """Claims of two nodes in one store."""

  def setUp(self):
    self.store = MemoryStore()
    self.claims_a = claims.Claims(self.store)
    self.claims_b = claims.Claims(self.store)

  def claim(self, node_claims: claims.Claims, digest: str = "d"):
    return anyio.run(node_claims.claim, "fuel", "key", digest, 100.0)

  def test_later_attempts_get_the_prior_attempt(self):
    self.assertIsInstance(self.claim(self.claims_a).ok, claims.Claim)
    self.assertIsInstance(self.claim(self.claims_b).ok, claims.PriorAttempt)
    self.assertIsInstance(self.claim(self.claims_a).ok, claims.PriorAttempt)

  def test_claim_with_lost_reply_is_resolved_by_its_nonce(self):
    self.store.lose_next_reply = True
    self.assertIsInstance(self.claim(self.claims_a).ok, claims.Claim)
    self.assertIsInstance(self.claim(self.claims_b).ok, claims.PriorAttempt)

  def test_outcome_with_lost_reply_is_recorded(self):
    claim = self.claim(self.claims_a).ok
    self.store.lose_next_reply = True
    self.assertTrue(anyio.run(self.claims_a.finish, claim, 200, b"{}"))
    prior_attempt = self.claim(self.claims_b).ok
    self.assertEqual(prior_attempt.record.state, claims.ENDED)

  def test_unresolved_claim_is_released_later(self):
    self.store.lose_next_reply = True

    async def fail_get(_: str) -> None:
      raise exceptions.StoreUnavailableError("down")

    get, self.store.get = self.store.get, fail_get
    self.assertIsInstance(
      self.claim(self.claims_a).error, exceptions.ClaimsUnavailableError
    )
    self.store.get = get
    self.assertIsInstance(self.claim(self.claims_b).ok, claims.PriorAttempt)
    anyio.run(self.claims_a.retry_releases)
    self.assertIsInstance(self.claim(self.claims_b).ok, claims.Claim)

  def test_key_with_another_body_is_refused(self):
    self.claim(self.claims_a)
    error = self.claim(self.claims_b, "another").error
    self.assertIsInstance(error, exceptions.KeyReusedError)

  def restore(self, entries: dict[str, store.Entry]) -> None:
    """Restores the store; its nodes notice that with their next call."""
    self.store.entries = dict(entries)
    self.store.era += 1

  def test_claim_lost_by_a_restore_is_made_twice(self):
    claim = self.claim(self.claims_a).ok
    self.assertIsInstance(self.claim(self.claims_b).ok, claims.PriorAttempt)
    self.restore({})
    self.assertIsInstance(
      self.claim(self.claims_b).error, exceptions.ClaimsUnavailableError
    )
    self.assertEqual(self.store.entries, {})
    anyio.run(self.claims_a.restore_lost, 10.0)
    for now in (10.0, 12.0, 13.0):
      anyio.run(self.claims_b.restore_lost, now)
    self.assertIsInstance(self.claim(self.claims_b).ok, claims.PriorAttempt)
    self.assertTrue(anyio.run(self.claims_a.finish, claim, 200, b"{}"))
    prior_attempt = self.claim(self.claims_b).ok
    self.assertEqual(prior_attempt.record.state, claims.ENDED)

  def test_restore_before_the_first_claim_of_a_node_is_not_noticed(self):
    self.claim(self.claims_a)
    anyio.run(self.claims_b.restore_lost, 1.0)
    self.restore({})
    self.assertIsInstance(
      self.claim(self.claims_b).error, exceptions.ClaimsUnavailableError
    )

  def test_claim_that_meets_a_restore_stays(self):
    self.claim(self.claims_a)
    put = self.store.put

    async def restore_and_put(key: str, value: str, expected: int) -> int:
      self.restore({})
      return await put(key, value, expected)

    self.store.put = restore_and_put
    self.assertIsInstance(
      self.claim(self.claims_b).error, exceptions.ClaimsUnavailableError
    )
    self.assertEqual(self.store.entries, {})

  def test_outcome_lost_by_a_restore_stays_unknown(self):
    claim = self.claim(self.claims_a).ok
    copy = dict(self.store.entries)
    anyio.run(self.claims_a.finish, claim, 200, b"{}")
    self.restore(copy)
    anyio.run(self.claims_a.restore_lost, 10.0)
    (entry,) = self.store.entries.values()
    self.assertIn(claims.ENDED, entry.value)

  def test_only_old_ended_claims_are_deleted(self):
    claim = self.claim(self.claims_a).ok
    self.assertEqual(anyio.run(self.claims_a.delete_expired, 9e9, 10.0), 0)
    anyio.run(self.claims_a.finish, claim, 200, b"{}")
    self.assertEqual(anyio.run(self.claims_a.delete_expired, 105.0, 10.0), 0)
    self.assertEqual(anyio.run(self.claims_a.delete_expired, 111.0, 10.0), 1)


if __name__ == "__main__":
  unittest.main()
