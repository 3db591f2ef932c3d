"""Signals that reach a node as it starts and as it stops."""

import pathlib
import signal
import subprocess
import sys
import threading
import time
import unittest

from tests import fleet
from tests import gateways
from tests.standins import site as sites

SERIES = (
  signal.SIGHUP,
  signal.SIGTERM,
  signal.SIGHUP,
  signal.SIGINT,
  signal.SIGHUP,
)


def handles(pid, number):
  """True once a process has a handler of a signal."""
  try:
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
  except FileNotFoundError:
    return False
  (caught,) = [line.split()[1] for line in lines if line.startswith("SigCgt:")]
  return bool(int(caught, 16) >> number - 1 & 1)


class LightImportTest(unittest.TestCase):
  """The module that captures signals is imported before everything else."""

  def test_capturing_imports_no_library(self):
    code = (
      "import sys; before = set(sys.modules); import bronzefold.signals;"
      "print(sorted(set(sys.modules) - before))"
    )
    command = [sys.executable, "-c", code]
    output = subprocess.run(command, capture_output=True, check=True).stdout
    for name in ("asyncio", "anyio", "attr", "zmq", "uvicorn"):
      self.assertNotIn(repr(name), output.decode())


class GatewayTest(unittest.TestCase):
  """A gateway node whose upstream takes some time for each request."""

  def setUp(self):
    site = self.enterContext(sites.Site())
    self.upstream = sites.Upstream("i-shop", "shop", b"shop", delay_s=0.4)
    site.add_upstream(self.upstream)
    routes = [sites.make_route("plain", service="shop", timeoutMs=5000)]
    site.put("op/config", sites.make_configuration(1, routes))
    self.node = self.enterContext(gateways.Node(site, "n0"))
    self.replies = []

  def send(self):
    try:
      reply = self.node.send("/plain/x", deadline_ms=4000)
    except OSError as error:
      reply = error
    self.replies.append(reply)

  def test_requests_are_answered_whatever_signals_follow_the_first(self):
    """Guards against ending with requests in progress (LOST)."""
    self.node.wait_ready()
    self.node.wait_for_upstreams(self.upstream)
    threads = [threading.Thread(target=self.send) for _ in range(2)]
    for thread in threads:
      thread.start()
    time.sleep(0.1)
    self.node.popen.send_signal(signal.SIGTERM)
    for step, number in enumerate(SERIES):
      time.sleep(0.02)
      self.node.write_settings(slack=57 + step)
      self.node.popen.send_signal(number)
      threads.append(threading.Thread(target=self.send))
      threads[-1].start()
    for thread in threads:
      thread.join()
    self.assertEqual(
      [getattr(reply, "status", reply) for reply in self.replies],
      [200] * len(threads),
    )
    self.assertEqual(self.node.popen.wait(timeout=10), 0)
    self.assertTrue(self.node.read_events("settings_reloaded"))

  def test_signals_until_the_process_is_gone_do_not_end_it(self):
    """Guards against a signal that finds its default action restored."""
    self.node.wait_ready()
    self.node.popen.send_signal(signal.SIGTERM)
    while self.node.popen.poll() is None:
      for number in SERIES:
        self.node.popen.send_signal(number)
      time.sleep(0.0005)
    self.assertEqual(self.node.popen.returncode, 0)

  def wait_until_captured(self):
    gateways.wait_until(
      lambda: handles(self.node.popen.pid, signal.SIGHUP), "signals captured"
    )

  def test_changed_settings_do_not_end_a_node_that_starts(self):
    """Guards against a handler that stands only once the node serves."""
    self.wait_until_captured()
    self.assertEqual(self.node.log_path.read_text("utf-8"), "")
    for _ in range(20):
      self.node.popen.send_signal(signal.SIGHUP)
      time.sleep(0.02)
    self.node.wait_ready()
    self.assertIsNone(self.node.popen.poll())

  def test_node_that_is_stopped_as_it_starts_ends_without_serving(self):
    self.wait_until_captured()
    self.node.popen.send_signal(signal.SIGTERM)
    self.assertEqual(self.node.popen.wait(timeout=10), 0)
    self.assertEqual(self.node.read_events("node_started"), [])


class OwnerTest(unittest.TestCase):
  """A node of the product's own interface."""

  def setUp(self):
    self.fleet = self.enterContext(fleet.Fleet(nodes=2))
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_until_warm()

  def test_action_is_answered_whatever_signals_follow_the_first(self):
    """Guards against ending with an action in progress."""
    names = [upstream["name"] for upstream in self.fleet.upstreams]
    self.fleet.set_upstream_faults(
      leaves=dict.fromkeys(names, {"hang_actions": 0.8})
    )
    process = self.fleet.processes["n1"].popen
    replies = []

    def act():
      replies.append(self.fleet.run_action("n1", "k", {}, deadline_ms=3000))

    thread = threading.Thread(target=act)
    thread.start()
    time.sleep(0.2)
    process.send_signal(signal.SIGHUP)
    time.sleep(0.1)
    self.assertIsNone(process.poll())
    process.send_signal(signal.SIGTERM)
    for number in SERIES:
      time.sleep(0.05)
      process.send_signal(number)
    thread.join()
    ((status, _),) = replies
    self.assertEqual(status, 200, replies)
    while process.poll() is None:
      process.send_signal(signal.SIGHUP)
      time.sleep(0.0005)
    self.assertEqual(process.returncode, 0)

  def test_signal_does_not_end_a_node_that_starts(self):
    self.fleet.processes["n1"].kill()
    self.fleet.start_node("n1")
    process = self.fleet.processes["n1"].popen
    gateways.wait_until(
      lambda: handles(process.pid, signal.SIGHUP), "signals captured"
    )
    for _ in range(20):
      process.send_signal(signal.SIGHUP)
      time.sleep(0.02)
    self.fleet.wait_for(
      lambda: self.fleet.fetch_status("n1")["state"] == "serving"
    )
    self.assertIsNone(process.poll())


if __name__ == "__main__":
  unittest.main()
