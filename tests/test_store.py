"""The store's client, while the store is restored from a copy."""

import asyncio
import unittest

from bronzefold import store
from bronzefold.core import exceptions
from bronzefold.platform import store as platform_store
from tests.standins import site as sites


class RestoreTest(unittest.TestCase):
  """Revisions and leases from before a restore."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.runner = self.enterContext(asyncio.Runner())
    self.client = self.make_client()
    self.site.put("a", "old")
    self.copy = self.site.copy_store()

  def make_client(self):
    client = store.StoreClient(
      [self.site.store_address], 1.0, platform_store.StoreDialect()
    )
    self.addCleanup(lambda: self.run_call(client.close()))
    return client

  def run_call(self, call):
    return self.runner.run(call)

  def read(self, key):
    return self.run_call(self.client.get(key))

  def test_watch_continues_in_another_history(self):
    self.site.put("a", "lost")
    position = self.run_call(self.client.list_prefix("")).revision
    self.site.restore_store(self.copy)
    for number in range(3):
      self.site.put("b", number)
    with self.assertRaises(exceptions.HistoryGoneError):
      self.run_call(self.client.watch("", position, 0.01))
    listing = self.run_call(self.client.list_prefix(""))
    self.assertGreater(listing.revision, position)
    changes = self.run_call(self.client.watch("", listing.revision, 0.01))
    self.assertEqual(changes.entries, ())

  def test_revision_given_out_again_passes_for_the_former(self):
    self.site.put("a", "lost")
    before = self.read("a")
    self.site.restore_store(self.copy)
    self.site.put("a", "new")
    after = self.read("a")
    self.assertEqual(
      store.eras.get_number(after.revision),
      store.eras.get_number(before.revision),
    )
    self.assertGreater(after.revision, before.revision)
    with self.assertRaises(exceptions.ConflictError) as caught:
      self.run_call(self.client.put("a", "stale", before.revision))
    self.assertEqual(caught.exception.current_revision, after.revision)
    self.assertEqual(caught.exception.current_value, b'"new"')
    with self.assertRaises(exceptions.ConflictError):
      self.run_call(self.client.delete("a", before.revision))
    revision = self.run_call(self.client.put("a", "kept", after.revision))
    self.assertGreater(revision, after.revision)

  def test_lease_given_to_another_is_renewed_or_ended(self):
    lost = self.run_call(self.client.create_lease(5.0)).lease
    self.site.restore_store(self.copy)
    other = self.run_call(self.make_client().create_lease(5.0)).lease
    self.assertEqual(other, lost)
    for call in (
      lambda: self.client.renew_lease(lost),
      lambda: self.client.put("c", "v", 0, lost),
      lambda: self.client.revoke_lease(lost),
    ):
      with self.assertRaises(exceptions.LeaseLapsedError):
        self.run_call(call())
    self.assertIsNone(self.read("c"))

  def test_client_that_just_started_rejects_a_known_revision(self):
    self.site.restore_store(self.copy)
    revision = self.read("a").revision
    self.run_call(self.make_client().put("a", "new", revision))

  def test_revision_out_of_range_is_an_invalid_response(self):
    with self.assertRaises(exceptions.StoreUnavailableError):
      store.eras.join(1, 1 << 40)
    with self.assertRaises(exceptions.StoreUnavailableError):
      store.eras.join(1, -1)


if __name__ == "__main__":
  unittest.main()
