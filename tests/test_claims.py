"""Claims of idempotency keys against a platform in memory."""

import unittest

import anyio

from bronzefold import store
from bronzefold.core import exceptions
from bronzefold.node import claims


class MemoryPlatform:
  """The calls that claims make; a reply can be lost after the effect."""

  def __init__(self) -> None:
    self.entries: dict[str, store.Entry] = {}
    self.revision = 0
    self.lose_next = False
    self.down = False

  def _check(self) -> None:
    if self.down:
      raise exceptions.StoreUnavailableError("down")

  async def get(self, key: str) -> store.Entry | None:
    self._check()
    return self.entries.get(key)

  async def list_prefix(self, prefix: str) -> store.Listing:
    entries = [e for k, e in self.entries.items() if k.startswith(prefix)]
    return store.Listing(self.revision, tuple(entries))

  async def put(self, key: str, value: str, expected: int) -> int:
    self._check()
    self._compare(key, expected)
    self.revision += 1
    self.entries[key] = store.Entry(key, value, self.revision)
    if self.lose_next:
      self.lose_next = False
      raise exceptions.StoreUnavailableError("lost")
    return self.revision

  async def delete(self, key: str, expected: int) -> None:
    self._check()
    self._compare(key, expected)
    self.revision += 1
    del self.entries[key]

  def _compare(self, key: str, expected: int) -> None:
    entry = self.entries.get(key)
    if expected != (entry.revision if entry else 0):
      revision = entry.revision if entry else 0
      value = entry.value.encode() if entry else b""
      raise exceptions.ConflictError(key, revision, value)


class ClaimsTest(unittest.TestCase):
  """Two nodes' claims on one platform."""

  def setUp(self):
    self.platform = MemoryPlatform()
    self.one = claims.Claims(self.platform)
    self.other = claims.Claims(self.platform)

  def claim(self, claimed: claims.Claims, digest: str = "d"):
    return anyio.run(claimed.claim, "fuel", "key", digest, 100.0)

  def test_only_one_attempt_gets_the_claim(self):
    self.assertIsInstance(self.claim(self.one).ok, claims.Claim)
    self.assertIsInstance(self.claim(self.other).ok, claims.PriorAttempt)
    self.assertIsInstance(self.claim(self.one).ok, claims.PriorAttempt)

  def test_lost_reply_is_settled_by_the_nonce(self):
    self.platform.lose_next = True
    self.assertIsInstance(self.claim(self.one).ok, claims.Claim)
    self.assertIsInstance(self.claim(self.other).ok, claims.PriorAttempt)

  def test_lost_reply_of_the_outcome_is_settled(self):
    claim = self.claim(self.one).ok
    self.platform.lose_next = True
    self.assertTrue(anyio.run(self.one.finish, claim, 200, b"{}"))
    earlier = self.claim(self.other).ok
    self.assertEqual(earlier.record.state, claims.ENDED)

  def test_unsettled_claim_is_freed_later(self):
    self.platform.lose_next = True

    async def get_nothing(_: str) -> None:
      raise exceptions.StoreUnavailableError("down")

    get, self.platform.get = self.platform.get, get_nothing
    self.assertIsInstance(
      self.claim(self.one).error, exceptions.ClaimsUnavailableError
    )
    self.platform.get = get
    self.assertIsInstance(self.claim(self.other).ok, claims.PriorAttempt)
    anyio.run(self.one.release_abandoned)
    self.assertIsInstance(self.claim(self.other).ok, claims.Claim)

  def test_other_body_is_refused(self):
    self.claim(self.one)
    error = self.claim(self.other, "another").error
    self.assertIsInstance(error, exceptions.KeyReusedError)

  def test_only_old_ended_claims_are_dropped(self):
    claim = self.claim(self.one).ok
    self.assertEqual(anyio.run(self.one.drop_expired, 9e9, 10.0), 0)
    anyio.run(self.one.finish, claim, 200, b"{}")
    self.assertEqual(anyio.run(self.one.drop_expired, 105.0, 10.0), 0)
    self.assertEqual(anyio.run(self.one.drop_expired, 111.0, 10.0), 1)


if __name__ == "__main__":
  unittest.main()
