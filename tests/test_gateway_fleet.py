"""Gateway nodes over time: start, changes, outages, stops, failed nodes."""

import json
import signal
import subprocess
import sys
import threading
import time
import unittest

from bronzefold.operators import explanation
from tests import fleet
from tests import gateways
from tests.standins import site as sites


def make_routes(*names):
  """Returns a plain route for each name, to the service of that name."""
  return [sites.make_route(name, service=name) for name in names]


class SiteTest(unittest.TestCase):
  """Common set-up: a stand-in platform with one upstream."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.upstream = self.site.add_upstream(
      sites.Upstream("i-shop", "shop", b"shop")
    )

  def configure(self, version, *names):
    routes = make_routes(*names)
    self.site.put("op/config", sites.make_configuration(version, routes))

  def start(self, name="n0", **options):
    return self.enterContext(gateways.Node(self.site, name, **options))

  def start_ready(self, name="n0", **options):
    node = self.start(name, **options)
    node.wait_ready()
    return node


class ConfigurationTest(SiteTest):
  """Entries that operators and upstreams write to the store."""

  def test_without_configuration_gets_503_and_is_not_ready(self):
    node = self.start()
    gateways.wait_until(
      lambda: node.read_events("instance_changed"), "the read of the store"
    )
    reply = node.send("/shop/x")
    self.assertEqual(reply.status, 503)
    self.assertGreater(float(reply.headers["retry-after"]), 0)
    self.assertFalse(node.is_ready())

  def test_change_applies_within_limit_and_is_never_reverted(self):
    self.configure(5, "shop")
    node = self.start_ready()
    self.site.add_upstream(sites.Upstream("i-new", "new", b"new"))
    changed_at = time.monotonic()
    self.configure(9, "shop", "new")
    gateways.wait_until(lambda: node.send("/new/x").status == 200, "the route")
    self.assertLess(time.monotonic() - changed_at, 3.0)
    self.configure(8, "shop")
    time.sleep(1.5)
    self.assertEqual(node.send("/new/x").status, 200)

  def test_invalid_entries_are_refused_and_change_nothing(self):
    self.configure(5, "shop")
    node = self.start_ready()
    self.site.put("op/config", b"\xff not json")
    self.site.put("op/config", {"version": "new", "routes": 3})
    nowhere = sites.make_configuration(9, [sites.make_route("nowhere")])
    self.site.put("op/config", nowhere)
    self.site.put("servers/i-bytes", b"\xff\x00")
    self.site.put("servers/i-half", {"service": "shop", "state": "ready"})
    self.site.write_report(sites.Upstream("i-odd", "shop"), state="asleep")
    gateways.wait_until(
      lambda: len(node.read_events("entry_refused")) >= 5, "the refused entries"
    )
    replies = [node.send("/shop/x") for _ in range(10)]
    self.assertEqual({reply.body for reply in replies}, {b"shop"})

  def test_lost_store_history_causes_full_read(self):
    self.configure(5, "shop")
    node = self.start_ready()
    gone = self.site.add_upstream(sites.Upstream("i-gone", "shop", b"gone"))
    node.wait_for_upstreams(gone)
    self.site.store.mode = "down"
    time.sleep(0.5)
    self.site.remove("servers/i-gone")
    self.configure(6, "shop", "more")
    self.site.clear_history()
    self.site.store.mode = "up"
    gateways.wait_until(
      lambda: node.read_events("history_gone"), "the full read of the store"
    )
    node.wait_for_upstreams(gone, state="removed")
    self.assertEqual(node.send("/more/x").status, 503)

  def test_draining_or_removed_upstream_gets_no_requests_after_grace(self):
    self.configure(5, "shop")
    node = self.start_ready()
    leaving = self.site.add_upstream(
      sites.Upstream("i-leaving", "shop", b"leaving")
    )
    node.wait_for_upstreams(leaving)
    for state, change in (
      ("draining", lambda: self.site.write_report(leaving, state="draining")),
      ("removed", lambda: self.site.remove("servers/i-leaving")),
    ):
      with self.subTest(state=state):
        change()
        time.sleep(2.5)
        before = len(leaving.received_requests)
        self.assertEqual(
          {node.send("/shop/x").body for _ in range(10)}, {b"shop"}
        )
        self.assertEqual(len(leaving.received_requests), before)
        self.site.write_report(leaving, sequence=5)
        time.sleep(1.5)

  def test_evacuated_zone_gets_no_requests_until_restored(self):
    self.configure(5, "shop")
    node = self.start_ready()
    other = self.site.add_upstream(
      sites.Upstream("i-b", "shop", b"other", zone="b")
    )
    node.wait_for_upstreams(other)
    self.site.put("op/evacuate/a", {})
    gateways.wait_until(
      lambda: node.read_events("zone_changed"), "the evacuation order"
    )
    self.assertEqual({node.send("/shop/x").body for _ in range(10)}, {b"other"})
    self.site.remove("op/evacuate/a")
    gateways.wait_until(
      lambda: len(node.read_events("zone_changed")) == 2,
      "the end of the evacuation",
    )
    self.assertIn(b"shop", {node.send("/shop/x").body for _ in range(10)})

  def test_cold_upstream_gets_no_requests_while_another_is_warm(self):
    self.configure(5, "shop")
    node = self.start_ready()
    cold = sites.Upstream("i-cold", "shop", b"cold")
    self.site.add_upstream(cold, warmupLeftMs=2500)
    node.wait_for_upstreams(cold)
    deadline = time.monotonic() + 1.0
    while time.monotonic() < deadline:
      self.assertEqual(node.send("/shop/x").body, b"shop")
    self.assertEqual(cold.received_requests, [])
    self.site.stop_upstream(self.upstream)
    gateways.wait_until(
      lambda: node.send("/shop/x").body == b"cold", "the warm-up"
    )


class ReshardTest(SiteTest):
  """The index is split into another set of shards."""

  def configure_search(self, version, *shards):
    search = sites.make_route(
      "search", gather=list(shards), topK=2, minCoverage=0.5
    )
    routes = [search, *make_routes("shop"), *make_routes(f"extra{version}")]
    self.site.put("op/config", sites.make_configuration(version, routes))

  def setUp(self):
    super().setUp()
    for number in range(2):
      body = sites.make_records(number)
      self.site.add_upstream(
        sites.Upstream(f"i-old{number}", f"old{number}", body)
      )
    self.configure_search(5, "old0", "old1")
    self.node = self.start_ready()

  def add_new_shards(self, **report):
    for number in range(3):
      body = sites.make_records(number)
      upstream = sites.Upstream(f"i-new{number}", f"new{number}", body)
      self.node.wait_for_upstreams(self.site.add_upstream(upstream, **report))

  def test_configuration_waits_for_cold_shards(self):
    self.add_new_shards(warmupLeftMs=1600)
    configured_at = time.monotonic()
    self.configure_search(7, "new0", "new1", "new2")
    counts = []
    while time.monotonic() < configured_at + 3.0:
      reply = self.node.send("/search/x")
      self.assertEqual(reply.status, 200)
      self.assertEqual(reply.headers["bronzefold-missing-parts"], "0")
      counts.append(len(reply.parts))
      # The version takes effect as a whole: its plain route too must wait.
      status = self.node.send("/extra7/x").status
      self.assertIn(status, (404, 503) if counts[-1] == 2 else (503,))
    self.assertEqual(
      sorted(counts), counts, "an older version took effect again"
    )
    self.assertEqual({2, 3}, set(counts))

  def test_configuration_applies_within_limit_though_shards_stay_cold(self):
    self.add_new_shards(warmupLeftMs=20000)
    self.configure_search(7, "new0", "new1", "new2")
    configured_at = time.monotonic()
    gateways.wait_until(
      lambda: self.node.send("/extra7/x").status == 503, "the version"
    )
    self.assertLess(time.monotonic() - configured_at, 3.0)


class OutageTest(SiteTest):
  """The store is unavailable."""

  def test_serves_without_the_store(self):
    self.configure(5, "shop")
    node = self.start_ready()
    for mode in ("down", "silent"):
      with self.subTest(mode=mode):
        self.site.store.mode = mode
        gateways.wait_until(
          lambda: node.read_events("platform_lost"), "the loss of the store"
        )
        self.assertEqual(node.send("/shop/x").body, b"shop")
    self.site.store.mode = "up"
    self.configure(6, "shop", "more")
    gateways.wait_until(
      lambda: node.send("/more/x").status == 503, "the new configuration"
    )

  def test_restarted_node_gets_state_from_peers(self):
    self.configure(5, "shop")
    first = self.start_ready("n0")
    self.site.store.mode = "down"
    second = self.start(
      "n1", ip="127.0.0.2", peer_port=first.peer_port, seeds=("127.0.0.1:9",)
    )
    second.wait_ready()
    self.assertEqual(second.send("/shop/x").body, b"shop")

  def test_registers_again_after_lost_store_responses(self):
    self.configure(5, "shop")
    self.site.store.mode = "lose"
    first = self.start("n0")
    time.sleep(1.5)
    self.site.store.mode = "up"
    first.wait_ready()
    second = self.start_ready("n1")
    gateways.wait_until(
      lambda: len(second.resolve_addresses()) == 2, "both nodes"
    )


class RestoredStoreTest(SiteTest):
  """The store comes back from a copy that lacks its last writes."""

  def setUp(self):
    super().setUp()
    self.configure(5, "shop")
    self.node = self.start_ready()
    self.copy = self.site.copy_store()

  def restore(self):
    """Restores the copy after a short outage."""
    self.site.store.mode = "down"
    time.sleep(0.5)
    self.site.restore_store(self.copy)
    self.site.store.mode = "up"

  def wait_for_listing(self):
    """Waits until the node has read the restored store."""
    gateways.wait_until(
      lambda: [
        event
        for event in self.node.read_events("store_listed")
        if event["era"] == 2
      ],
      "the listing",
    )

  def test_configuration_written_after_restore_is_missed(self):
    for version in range(6, 12):
      self.configure(version, "shop")
    gateways.wait_until(
      lambda: self.node.read_events("routes_applied")[-1]["version"] == 11,
      "the configuration before the restore",
    )
    self.restore()
    self.configure(11, "shop")
    self.wait_for_listing()
    self.configure(12, "shop", "more")
    changed_at = time.monotonic()
    for number in range(8):
      self.site.write_report(self.upstream, sequence=number)
    gateways.wait_until(
      lambda: self.node.send("/more/x").status == 503, "the configuration"
    )
    self.assertLess(time.monotonic() - changed_at, 3.0)

  def test_state_lost_by_restore_is_undone_before_it_is_written_again(self):
    """Nothing the node knew is undone within two seconds of the return."""
    other = self.site.add_upstream(
      sites.Upstream("i-b", "shop", b"other", zone="b")
    )
    self.node.wait_for_upstreams(other)
    self.site.put("op/evacuate/a", {})
    self.configure(6, "shop", "more")
    gateways.wait_until(
      lambda: self.node.send("/more/x").status == 503, "the configuration"
    )
    gateways.wait_until(
      lambda: self.node.read_events("zone_changed"), "the evacuation"
    )
    self.restore()
    self.wait_for_listing()
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
      self.assertEqual(self.node.send("/shop/x").body, b"other")
      self.assertEqual(self.node.send("/more/x").status, 503)
    self.configure(6, "shop", "more")
    self.site.put("op/evacuate/a", {})
    self.site.write_report(other)
    time.sleep(3.0)
    self.assertEqual(self.node.send("/shop/x").body, b"other")

  def test_entry_that_stays_lost_is_kept_forever(self):
    gone = self.site.add_upstream(
      sites.Upstream("i-gone", "shop", b"gone", zone="b")
    )
    self.node.wait_for_upstreams(gone)
    self.restore()
    self.node.wait_for_upstreams(gone, state="removed")

  def test_nodes_are_registered_after_restore(self):
    """The entry of one is lost, and another starts after the restore."""
    lost = self.start_ready("n1")
    gateways.wait_until(
      lambda: len(self.node.resolve_addresses()) == 2, "both nodes"
    )
    self.restore()
    taken = self.start_ready("n2")
    for node in (self.node, lost, taken):
      gateways.wait_until(
        lambda node=node: len(node.resolve_addresses()) == 3, "all nodes"
      )
    gateways.wait_until(
      lambda: (
        self.site.list_keys("bronzefold/nodes/")
        == [f"bronzefold/nodes/n{number}" for number in range(3)]
      ),
      "all entries",
    )
    lost.popen.send_signal(signal.SIGTERM)
    lost.popen.wait(8)
    for node in (self.node, taken):
      self.assertEqual(len(node.resolve_addresses()), 2)


class NodesTest(SiteTest):
  """Nodes that start, stop and fail."""

  def setUp(self):
    super().setUp()
    self.configure(5, "shop")
    self.nodes = [self.start_ready(f"n{number}") for number in range(3)]
    self.addresses = {f"127.0.0.1:{node.front_port}" for node in self.nodes}
    for node in self.nodes:
      gateways.wait_until(
        lambda node=node: set(node.resolve_addresses()) == self.addresses,
        "all nodes",
      )

  def test_killed_node_leaves_the_directory(self):
    killed, *others = self.nodes
    killed.popen.kill()
    killed_at = time.monotonic()
    gone = f"127.0.0.1:{killed.front_port}"
    for node in others:
      gateways.wait_until(
        lambda node=node: gone not in node.resolve_addresses(), "the directory"
      )
    self.assertLess(time.monotonic() - killed_at, 4.0)

  def test_paused_node_leaves_the_directory_and_returns(self):
    paused, other, _ = self.nodes
    address = f"127.0.0.1:{paused.front_port}"
    paused.popen.send_signal(signal.SIGSTOP)
    gateways.wait_until(
      lambda: address not in other.resolve_addresses(), "the node's removal"
    )
    paused.popen.send_signal(signal.SIGCONT)
    gateways.wait_until(
      lambda: address in other.resolve_addresses(), "the node's return"
    )

  def test_graceful_stop_interrupts_no_request(self):
    stopped, other, _ = self.nodes
    self.upstream.delay_s = 1.0
    replies = []
    threads = [
      threading.Thread(
        target=lambda: replies.append(stopped.send("/shop/x", deadline_ms=5000))
      )
      for _ in range(4)
    ]
    for thread in threads:
      thread.start()
    gateways.wait_until(
      lambda: len(self.upstream.executed_ids) >= 2, "the runs"
    )
    stopped.popen.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    gateways.wait_until(
      lambda: not stopped.is_ready(), "the failed readiness check", 1.0
    )
    address = f"127.0.0.1:{stopped.front_port}"
    gateways.wait_until(
      lambda: address not in other.resolve_addresses(),
      "the node's removal",
      1.0,
    )
    late = stopped.send("/shop/x", deadline_ms=5000)
    self.assertEqual(late.headers["connection"], "close")
    for thread in threads:
      thread.join()
    self.assertEqual({reply.status for reply in replies}, {200})
    self.assertEqual(stopped.popen.wait(6), 0)
    self.assertLess(time.monotonic() - stopped_at, 5.5)

  def test_reload_applies_settings_and_refuses_invalid_ones(self):
    node = self.nodes[0]
    node.write_settings(ratio="[")
    node.popen.send_signal(signal.SIGHUP)
    gateways.wait_until(
      lambda: node.read_events("settings_refused"), "the refused settings"
    )
    node.write_settings(ratio=0.1)
    node.popen.send_signal(signal.SIGHUP)
    gateways.wait_until(
      lambda: node.read_events("settings_reloaded"), "the reloaded settings"
    )
    self.assertEqual(node.send("/shop/x").status, 200)

  def test_changed_settings_apply_without_a_signal(self):
    node = self.nodes[0]
    node.write_settings(slack=1)
    gateways.wait_until(
      lambda: node.read_events("settings_reloaded"), "the reloaded settings"
    )

  def test_request_is_found_in_the_log_by_id(self):
    node = self.nodes[0]
    node.send("/shop/x", request_id="find-me")
    (event,) = [
      event
      for event in node.read_events("request_answered")
      if event["request"] == "find-me"
    ]
    self.assertEqual(event["outcome"], "served")
    self.assertEqual(event["version"], 5)

  def test_log_explains_the_cause_of_a_failed_request(self):
    """The log lines of one request id distinguish each kind of failure."""
    node = self.nodes[0]
    causes = (
      ("reset", "may-have-run", "answer_lost", "i-shop:unknown"),
      ("shed", "refused", "not_run", "i-shop:not_run"),
      ("fail", "failed", "upstream_failed", "i-shop:failed"),
    )
    for behaviour, request, outcome, attempt in causes:
      with self.subTest(behaviour=behaviour):
        self.upstream.behaviour = behaviour
        node.send("/shop/x", request_id=request)
        lines = node.log_path.read_text("utf-8").splitlines()
        explained = "\n".join(explanation.explain_request(request, lines))
        self.assertIn(f"outcome={outcome}", explained)
        self.assertIn(attempt, explained)
        self.assertIn("n0", explained)
        self.assertIn("routes_applied", explained)
    self.assertEqual(explanation.explain_request("nobody", lines), [])


class RateLimitTest(SiteTest):
  """Upstreams announce how many requests they accept from all nodes."""

  WINDOW_S = 4.0  # the platform's limit on requests is for such windows
  TOLD_AFTER_S = 0.5  # from then on a node must know what it was told

  def setUp(self):
    super().setUp()
    self.configure(5, "shop")
    self.nodes = [self.start_ready(f"n{number}") for number in range(3)]
    for node in self.nodes:
      gateways.wait_until(
        lambda node=node: len(node.resolve_addresses()) == 3, "all nodes"
      )

  def send_for(self, duration_s):
    """Sends to all nodes at once; returns the replies.

    Each node gets about 100 requests a second.
    """
    replies = []
    until = time.monotonic() + duration_s

    def send(node):
      while time.monotonic() < until:
        replies.append(node.send("/shop/x"))
        time.sleep(0.01)

    threads = [threading.Thread(target=send, args=(n,)) for n in self.nodes]
    for thread in threads:
      thread.start()
    for thread in threads:
      thread.join()
    return replies

  def count_most_in_window(self, upstream, since):
    """Returns the most requests that arrived in any window."""
    times = [r.at for r in upstream.received_requests if r.at >= since]
    return max(
      sum(start <= at < start + self.WINDOW_S for at in times)
      for start in times
    )

  def test_nodes_together_exceed_announced_rate_limit(self):
    limit_per_s = 10.0
    self.upstream.rate_limit = str(limit_per_s)
    started_at = time.monotonic()
    replies = self.send_for(self.WINDOW_S + 2.0)
    most = self.count_most_in_window(
      self.upstream, started_at + self.TOLD_AFTER_S
    )
    self.assertLessEqual(most, 1.5 * limit_per_s * self.WINDOW_S + 5)
    self.assertGreater(most, 0.7 * limit_per_s * self.WINDOW_S)
    refused = [reply for reply in replies if reply.status == 503]
    self.assertTrue(refused)
    self.assertLess(max(reply.took_s for reply in refused), 0.5)
    self.assertTrue(all("retry-after" in reply.headers for reply in refused))

  def test_other_upstreams_serve_what_a_rate_limit_excludes(self):
    other = self.site.add_upstream(sites.Upstream("i-b", "shop", b"shop"))
    for node in self.nodes:
      node.wait_for_upstreams(other)
    self.upstream.rate_limit = "2"
    self.assertEqual({r.status for r in self.send_for(3.0)}, {200})

  def test_rate_limit_outlives_its_announcement(self):
    self.upstream.rate_limit = "2"
    self.send_for(1.0)
    self.upstream.rate_limit = ""
    time.sleep(1.0)
    self.nodes[0].send("/shop/x")
    time.sleep(0.5)
    self.assertEqual({r.status for r in self.send_for(1.0)}, {200})


class SettingsTest(unittest.TestCase):
  """A settings file that can't be read."""

  def test_missing_settings_file_exits_with_code_and_reason(self):
    result = subprocess.run(
      [sys.executable, "-m", "bronzefold.platform"],
      cwd=fleet.ROOT,
      env={
        "BRONZEFOLD_CONFIG": "/nowhere/boot.toml",
        "BRONZEFOLD_METRICS_PORT": "1",
      },
      capture_output=True,
      text=True,
      check=False,
    )
    self.assertEqual(result.returncode, 2)
    self.assertIn("/nowhere/boot.toml", result.stderr)
    self.assertNotIn("Traceback", result.stderr)


class LogTest(unittest.TestCase):
  """Log lines are limited in rate and never block."""

  _PROGRAM = """
import logging, time
from bronzefold.core import events, logs
logs.configure_logs()
started = time.monotonic()
for number in range(5000):
  events.REQUEST_ANSWERED.log(logging.getLogger("x"), request=number)
events.NODE_STOPPED.log(logging.getLogger("x"), took=time.monotonic() - started)
time.sleep(1.1)
events.REQUEST_ANSWERED.log(logging.getLogger("x"), request="last")
"""

  def test_flood_of_log_lines_is_limited_and_counted(self):
    result = subprocess.run(
      [sys.executable, "-c", self._PROGRAM],
      capture_output=True,
      text=True,
      check=True,
    )
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    self.assertLess(len(lines), 100)
    (suppressed,) = [line for line in lines if line["name"] == "suppressed"]
    logged = sum(line["name"] == "request_answered" for line in lines)
    self.assertEqual(suppressed["counts"]["request_answered"] + logged, 5001)

  def test_unread_pipe_does_not_block_the_process(self):
    program = self._PROGRAM.replace("MAX", "").replace(
      "logs.configure_logs()",
      "logs.MAX_LINES_PER_EVENT = 10**9; logs.configure_logs()",
    )
    with subprocess.Popen(
      [sys.executable, "-c", program], stdout=subprocess.PIPE
    ) as process:
      self.assertEqual(process.wait(20), 0)


if __name__ == "__main__":
  unittest.main()
