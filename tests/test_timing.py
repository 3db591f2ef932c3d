"""When a response has to leave so that its caller gets it in time."""

import socket
import unittest

from bronzefold.gateway import connections
from bronzefold.gateway import model
from bronzefold.gateway import timing
from tests import gateways

OBJECTIVE_S = 0.1
ROUTE = model.Route(
  "r", "h", "/", timeout_s=1.5, latency_objective_s=OBJECTIVE_S
)


def make_request(timeout_s, round_trip_s=0.0):
  """Returns a request that arrived at time 10."""
  return gateways.make_request(
    10.0, timeout_s=timeout_s, round_trip_s=round_trip_s
  )


class ResponseTimeTest(unittest.TestCase):
  """Callers that are near or far, connected or not, new or returning."""

  def get_left(self, *args):
    time = timing.compute_response_time(make_request(*args), ROUTE)
    return time - 10.0 + timing.RESPONSE_RESERVE_S

  def test_near_connected_caller_has_the_whole_objective(self):
    self.assertAlmostEqual(self.get_left(1.5), OBJECTIVE_S)
    self.assertAlmostEqual(self.get_left(None), OBJECTIVE_S)

  def test_both_ways_of_the_network_count(self):
    self.assertAlmostEqual(self.get_left(1.5, 0.006), OBJECTIVE_S - 0.006)

  def test_time_spent_on_finding_and_connecting_counts(self):
    self.assertAlmostEqual(self.get_left(1.478, 0.006), OBJECTIVE_S - 0.028)

  def test_caller_that_returns_late_is_served_as_a_new_one(self):
    self.assertAlmostEqual(self.get_left(1.2, 0.006), OBJECTIVE_S - 0.006)

  def test_caller_with_a_longer_deadline_has_spent_nothing(self):
    self.assertAlmostEqual(self.get_left(9.0), OBJECTIVE_S)

  def test_response_is_never_due_before_the_request(self):
    self.assertGreaterEqual(self.get_left(1.45, 0.2), 0.0)

  def test_round_trip_is_that_of_the_connection(self):
    listener = self.enterContext(socket.create_server(("127.0.0.1", 0)))
    caller = socket.create_connection(listener.getsockname())
    self.enterContext(caller)
    accepted, _ = listener.accept()
    self.enterContext(accepted)
    round_trip_s = connections.read_round_trip(accepted)
    self.assertGreater(round_trip_s, 0.0)
    self.assertLess(round_trip_s, 0.1)

  def test_unknown_round_trip_is_zero(self):
    self.assertEqual(connections.read_round_trip(None), 0.0)
    datagrams = self.enterContext(
      socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    )
    self.assertEqual(connections.read_round_trip(datagrams), 0.0)


if __name__ == "__main__":
  unittest.main()
