"""A graceful stop interrupts no request."""

import signal
import threading
import time
import unittest

import httpcore

from tests import fleet
from tests import load


class PersistentCaller(threading.Thread):
  """A caller that reuses one connection to one address, whatever it receives.

  Attributes:
    stop_event: Set to end the thread.
    connection_errors: Errors of requests whose connection failed.
    refused_connections: Number of refused connections.
    served_requests: Number of responses with status 200.
  """

  def __init__(self, running_fleet: fleet.Fleet, node: str) -> None:
    super().__init__()
    self._url = f"http://{running_fleet.get_address(node)}"
    self.stop_event = threading.Event()
    self.connection_errors: list[str] = []
    self.refused_connections = 0
    self.served_requests = 0

  def run(self) -> None:
    path = "/v1/services/fuel/search/groups"
    with httpcore.ConnectionPool(retries=0) as pool:
      while not self.stop_event.is_set():
        try:
          reply = pool.request(
            "POST", self._url + path, content=b'{"query": {}}'
          )
        except httpcore.ConnectError:
          self.refused_connections += 1
          time.sleep(0.05)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
          self.connection_errors.append(repr(error))
        else:
          self.served_requests += reply.status == 200


class StopTest(unittest.TestCase):
  """Graceful stops in a fleet of eight nodes."""

  def setUp(self):
    self.fleet = fleet.Fleet(nodes=8)
    self.enterContext(self.fleet)
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_until_warm()

  def stop(self, name: str) -> None:
    process = self.fleet.processes[name].popen
    process.send_signal(signal.SIGTERM)
    process.wait(timeout=30)
    self.assertEqual(process.returncode, 0, self.fleet.read_logs())

  def test_stop_interrupts_no_caller_that_keeps_the_address(self):
    callers = [PersistentCaller(self.fleet, "n3") for _ in range(4)]
    for caller in callers:
      caller.start()
    time.sleep(1.0)
    self.stop("n3")
    for caller in callers:
      caller.stop_event.set()
      caller.join()
    self.assertEqual([c.connection_errors for c in callers], [[]] * 4)
    self.assertGreater(min(c.served_requests for c in callers), 0)
    log = (self.fleet.path / "n3.log").read_text()
    self.assertNotIn("stop_cut", log)

  def test_rolling_restart_fails_no_request(self):
    with load.Load(self.fleet, callers=3, action_share=0.2) as caller_load:
      for name in list(self.fleet.settings):
        caller_load.nodes = [n for n in self.fleet.settings if n != name]
        time.sleep(0.3)
        self.stop(name)
        self.fleet.start_node(name)
        self.fleet.wait_for(
          lambda n=name: self.fleet.fetch_status(n)["state"] == "serving"
        )
        time.sleep(0.5)
    failed = [r for r in caller_load.records if r.status == 0]
    self.assertEqual(failed, [])
    unknown = [
      r for r in caller_load.records if r.reply.get("outcome") == "unknown"
    ]
    self.assertEqual(unknown, [])
    # Only actions have a key.
    searches = [r for r in caller_load.records if not r.key]
    complete = sum(r.is_complete for r in searches)
    self.assertGreater(complete, 0.98 * len(searches))
    executions = self.fleet.fetch_counts()["executions"]
    self.assertEqual({n for n in executions.values() if n > 1}, set())

  def test_leaving_node_is_removed_from_addresses(self):
    process = self.fleet.processes["n5"].popen
    process.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    path = "/v1/addresses?zone=a"
    _, reply = fleet.call("GET", self.fleet.get_address("n0"), path)
    listed = [a["address"] for a in reply["addresses"]]
    self.assertEqual(len(listed), 7)
    self.assertNotIn(self.fleet.get_address("n5"), listed)
    process.wait(timeout=30)


class LateActionTest(unittest.TestCase):
  """An action that arrives while its node stops and that its upstream hangs."""

  def setUp(self):
    limits = {"linger_s": 2.0, "stop_limit_s": 4.0}
    self.fleet = self.enterContext(fleet.Fleet(nodes=2, settings=limits))
    self.fleet.apply(self.fleet.make_document())
    self.fleet.wait_until_warm()

  def test_action_gets_its_outcome_before_the_stop_ends(self):
    names = [upstream["name"] for upstream in self.fleet.upstreams]
    hangs = dict.fromkeys(names, {"hang_actions": 30.0})
    self.fleet.set_upstream_faults(leaves=hangs)
    process = self.fleet.processes["n1"].popen
    process.send_signal(signal.SIGTERM)
    started_at = time.monotonic()
    time.sleep(1.5)
    _, reply = self.fleet.run_action("n1", "late", {}, deadline_ms=9000)
    took_s = time.monotonic() - started_at
    self.assertEqual(reply["outcome"], "unknown", reply)
    self.assertGreater(took_s, 3.0)
    self.assertLess(took_s, 4.0)
    self.assertEqual(process.wait(timeout=10), 0)

  def test_action_that_can_not_finish_is_refused_as_not_run(self):
    document = self.fleet.make_document(objectives={"latency_ms": 1000})
    self.fleet.apply(document)
    self.fleet.processes["n1"].popen.send_signal(signal.SIGTERM)
    time.sleep(1.5)
    status, reply = self.fleet.run_action("n1", "long", {}, deadline_ms=9000)
    self.assertEqual((status, reply["outcome"]), (503, "not_run"))
    self.assertNotIn("long", self.fleet.fetch_counts()["executions"])


if __name__ == "__main__":
  unittest.main()
