"""Entries of nodes in the store: written once, removed when a node is gone."""

import itertools
import json
import signal
import time
import types
import unittest

import anyio
import attrs

from bronzefold import store
from bronzefold.gateway import registration
from bronzefold.gateway import rollouts
from bronzefold.peers import membership
from tests import gateways
from tests.standins import site as sites

PERIOD_S = registration.CHECK_PERIOD_S
LIMIT_S = registration.MIN_SILENCE_S


class WriteTest(unittest.TestCase):
  """Whether a node writes its entry."""

  def must_write(self, value, written_revision=0, known_revision=7):
    entry = None if value is None else store.Entry("k", value, 5)
    return registration.must_write_entry(
      entry, "own", written_revision, known_revision
    )

  def test_first_start(self):
    self.assertTrue(self.must_write(None))

  def test_restart_at_the_same_addresses_writes_nothing(self):
    self.assertFalse(self.must_write("own"))

  def test_restart_at_other_addresses(self):
    self.assertTrue(self.must_write("other"))

  def test_waits_until_entries_are_known(self):
    self.assertFalse(self.must_write(None, known_revision=0))
    self.assertFalse(self.must_write(None, written_revision=8))

  def test_writes_again_after_its_entry_was_removed(self):
    self.assertTrue(self.must_write(None, written_revision=6))

  def test_process_that_took_over_the_name_keeps_the_entry(self):
    self.assertFalse(self.must_write("other", written_revision=5))


class RestartTest(unittest.IsolatedAsyncioTestCase):
  """A node that starts again and finds its entry."""

  def setUp(self):
    member = membership.Member("n0", "a", "serving", "h:1", "h:2")
    value = registration.encode_member(member)
    self.entry = store.Entry("bronzefold/nodes/n0", value, 5)
    self.writes = []

    async def put(*arguments):
      self.writes.append(arguments)
      return 9

    self.registrar = registration.Registrar(
      types.SimpleNamespace(put=put),
      types.SimpleNamespace(revision=7, get_node_entry=lambda _: self.entry),
      membership.Membership(member, 2.0),
      types.SimpleNamespace(
        list_silent_nodes=lambda _: [], get_removal_rank=lambda _: None
      ),
    )

  async def check(self):
    """Runs one check."""
    with anyio.move_on_after(PERIOD_S / 10):
      await self.registrar.run()

  async def test_entry_of_a_process_that_took_over_later_stays(self):
    await self.check()
    self.entry = attrs.evolve(self.entry, value="other", revision=7)
    await self.check()
    self.assertEqual(self.writes, [])

  async def test_entry_that_was_removed_later_is_written(self):
    await self.check()
    self.entry = None
    await self.check()
    self.assertEqual(len(self.writes), 1)


class SilenceTest(unittest.TestCase):
  """Which nodes' entries are removed."""

  def setUp(self):
    self.log = registration.SilenceLog()
    self.now = 100.0

  def observe(self, silent, for_s):
    """Checks each period for a time; returns when nodes had departed."""
    departed = {}
    for _ in range(int(for_s / PERIOD_S)):
      self.log.update(silent, self.now)
      for node in self.log.list_departed(0, self.now):
        departed.setdefault(node, self.now)
      self.now += PERIOD_S
    return departed

  def test_silent_for_a_restart(self):
    self.assertEqual(self.observe(["n1"], LIMIT_S - PERIOD_S), {})
    self.observe([], PERIOD_S)
    self.assertEqual(self.observe(["n1"], LIMIT_S - PERIOD_S), {})

  def test_silent_for_good(self):
    self.assertEqual(
      self.observe(["n1"], LIMIT_S + 2 * PERIOD_S), {"n1": 100.0 + LIMIT_S}
    )

  def test_own_pause_is_not_silence_of_others(self):
    self.observe(["n1"], PERIOD_S)
    self.now += 10 * LIMIT_S
    self.assertEqual(self.observe(["n1"], LIMIT_S - PERIOD_S), {})

  def test_nodes_of_higher_rank_wait_for_the_removal(self):
    self.observe(["n1"], LIMIT_S + PERIOD_S)
    self.assertEqual(self.log.list_departed(0, self.now), ["n1"])
    self.assertEqual(self.log.list_departed(9, self.now), [])
    delay_s = 9 * rollouts.WRITE_DELAY_PER_RANK_S
    self.assertEqual(self.log.list_departed(9, self.now + delay_s), ["n1"])

  def test_node_that_is_only_cut_off_is_removed_ever_more_rarely(self):
    """It writes its entry again each time; an hour of a cut between regions."""
    removals = []
    while self.now < 3700.0:
      if self.observe(["n1"], PERIOD_S):
        self.log.record_removal("n1")
        removals.append(self.now)
    gaps = [b - a for a, b in itertools.pairwise(removals)]
    self.assertLessEqual(len(removals), 8)
    self.assertEqual(gaps, sorted(gaps))


class ProcessTest(unittest.TestCase):
  """Three nodes and the store."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.site.put("op/config", sites.make_configuration(5, []))
    self.nodes = [self.start(f"n{number}") for number in range(3)]
    self.wait_for_names("n0", "n1", "n2")

  def start(self, name):
    node = self.enterContext(gateways.Node(self.site, name))
    gateways.wait_until(node.is_ready, name)
    return node

  def list_names(self):
    keys = self.site.list_keys("bronzefold/nodes/")
    return {key.rpartition("/")[2] for key in keys}

  def wait_for_names(self, *names, limit_s=10.0):
    gateways.wait_until(
      lambda: self.list_names() == set(names), f"{names}", limit_s
    )

  def count_writes(self):
    return self.site.store.calls["kv-txn"] + self.site.store.calls["kv-lease"]

  def test_log_names_the_node_that_was_registered(self):
    gateways.wait_until(
      lambda: (
        {
          event["member"]
          for event in self.nodes[2].read_events("node_changed")
          if event["state"] == "registered"
        }
        == {"n0", "n1", "n2"}
      ),
      "all names in the log",
    )

  def test_restart_and_outage_cost_no_write(self):
    write_count = self.count_writes()
    stopped = self.nodes[2]
    stopped.popen.send_signal(signal.SIGTERM)
    stopped.popen.wait(10)
    stopped.start()
    gateways.wait_until(stopped.is_ready, "the restarted node")
    self.site.store.mode = "down"
    time.sleep(3.0)
    self.site.store.mode = "up"
    gateways.wait_until(
      lambda: len(self.nodes[0].resolve_addresses()) == 3, "all nodes"
    )
    time.sleep(2.0)
    self.assertEqual(self.count_writes(), write_count)
    self.assertEqual(self.list_names(), {"n0", "n1", "n2"})

  def test_new_node_sends_callers_to_no_registered_node_that_is_dead(self):
    killed = self.nodes[1]
    killed.popen.kill()
    new = self.start("n3")
    address = f"127.0.0.1:{killed.front_port}"
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
      self.assertNotIn(address, new.resolve_addresses())
      time.sleep(0.1)
    self.assertIn("n1", self.list_names())

  def test_departed_node_is_removed_and_a_paused_one_returns(self):
    killed, paused = self.nodes[1:]
    paused.popen.send_signal(signal.SIGSTOP)
    killed.popen.kill()
    time.sleep(LIMIT_S / 2)
    self.assertEqual(self.list_names(), {"n0", "n1", "n2"})
    self.wait_for_names("n0", limit_s=LIMIT_S)
    # The line is written after the store's response.
    gateways.wait_until(
      lambda: (
        {event["member"] for event in self.nodes[0].read_events("node_removed")}
        == {"n1", "n2"}
      ),
      "both names in the log",
    )
    paused.popen.send_signal(signal.SIGCONT)
    self.wait_for_names("n0", "n2")
    address = f"127.0.0.1:{paused.front_port}"
    gateways.wait_until(
      lambda: address in self.nodes[0].resolve_addresses(), "its return"
    )

  def test_entry_that_a_restore_of_the_store_lost_is_written_again(self):
    copy = self.site.copy_store()
    later = self.start("n3")
    self.wait_for_names("n0", "n1", "n2", "n3")
    self.site.store.mode = "down"
    time.sleep(0.5)
    self.site.restore_store(copy)
    self.site.store.mode = "up"
    self.wait_for_names("n0", "n1", "n2", "n3")
    self.assertEqual(
      json.loads(self.site.get("bronzefold/nodes/n3"))["caller_address"],
      f"127.0.0.1:{later.front_port}",
    )


if __name__ == "__main__":
  unittest.main()
