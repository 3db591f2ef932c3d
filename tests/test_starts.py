"""Nodes that start while something is in their way."""

import contextlib
import pathlib
import signal
import socket
import time
import unittest

from tests import fleet
from tests import gateways
from tests.standins import site as sites

HOLD_S = 0.5


def hold(port):
  """Listens on a port of 127.0.0.1, as another process might."""
  return socket.create_server(("127.0.0.1", port))


class HeldPortTest(unittest.TestCase):
  """A gateway node that starts while another process has one of its ports."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    upstream = self.site.add_upstream(sites.Upstream("i-0", "shop", b"shop"))
    routes = [sites.make_route("plain", service="shop")]
    self.site.put("op/config", sites.make_configuration(1, routes))
    self.node = self.enterContext(gateways.Node(self.site, "n0"))
    self.node.wait_ready()
    self.node.wait_for_upstreams(upstream)
    self.node.popen.kill()
    self.node.popen.wait()
    self.node.log_path.write_text("", "utf-8")

  def test_node_waits_until_its_port_is_free(self):
    """Guards against a process that ends as it can't listen (Fault)."""
    for name in ("front", "readiness", "directory", "metrics", "peer"):
      with self.subTest(port=name):
        port = getattr(self.node, f"{name}_port")
        with hold(port):
          self.node.start()
          gateways.wait_until(
            lambda: (
              self.node.read_events("address_in_use")
              or self.node.popen.poll() is not None
            ),
            "it waits or has ended",
          )
          time.sleep(HOLD_S)
          self.assertIsNone(self.node.popen.poll())
        self.node.wait_ready()
        self.assertEqual(self.node.send("/plain/x").status, 200)
        (event,) = self.node.read_events("address_in_use")
        self.assertTrue(event["address"].endswith(f":{port}"), event)
        gateways.wait_until(
          lambda port=port: self.accepts(port), f"{name} listens"
        )
      self.node.popen.kill()
      self.node.popen.wait()
      self.node.log_path.write_text("", "utf-8")

  def accepts(self, port):
    with (
      contextlib.suppress(OSError),
      socket.create_connection(("127.0.0.1", port), 1.0),
    ):
      return True
    return False

  def test_node_serves_while_the_port_for_metrics_is_held(self):
    with hold(self.node.metrics_port):
      self.node.start()
      self.node.wait_ready()
      self.assertEqual(self.node.send("/plain/x").status, 200)
    gateways.wait_until(lambda: self.accepts(self.node.metrics_port), "metrics")
    reply = gateways.call(self.node.metrics_port, "/metrics")
    self.assertEqual(reply.status, 200)

  def test_node_that_is_stopped_while_it_waits_ends(self):
    with hold(self.node.front_port):
      self.node.start()
      gateways.wait_until(
        lambda: self.node.read_events("address_in_use"), "it waits"
      )
      self.node.popen.send_signal(signal.SIGTERM)
      self.assertEqual(self.node.popen.wait(timeout=5), 0)

  def test_settings_that_are_being_written_as_the_node_starts(self):
    path = self.node.settings_path
    whole = path.read_bytes()
    path.write_bytes(whole[: len(whole) // 2])
    self.node.start()
    gateways.wait_until(
      lambda: self.node.read_events("settings_refused"), "it has read a half"
    )
    path.write_bytes(whole)
    self.node.wait_ready()

  def test_settings_that_stay_invalid_end_the_node(self):
    self.node.settings_path.write_bytes(b"")
    self.node.start()
    self.assertEqual(self.node.popen.wait(timeout=10), 2)


class OwnerTest(unittest.TestCase):
  """A node of the product's own interface whose ports are held."""

  def test_node_waits_until_its_port_is_free(self):
    running = self.enterContext(fleet.Fleet(nodes=1))
    for name in ("caller_address", "peer_address"):
      with self.subTest(port=name):
        running.processes["n0"].kill()
        port = int(running.settings["n0"][name].rpartition(":")[2])
        with hold(port):
          running.start_node("n0")
          process = running.processes["n0"].popen
          log = pathlib.Path(running.path / "n0.log")
          written = len(log.read_text("utf-8"))
          running.wait_for(
            lambda log=log, written=written, process=process: (
              "address_in_use" in log.read_text("utf-8")[written:]
              or process.poll() is not None
            )
          )
          time.sleep(HOLD_S)
          self.assertIsNone(process.poll())
        running.wait_for(
          lambda: running.fetch_status("n0")["state"] == "serving"
        )


if __name__ == "__main__":
  unittest.main()
