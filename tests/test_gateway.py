"""A gateway node on the stand-in platform: requests, searches, refusals."""

import socket
import threading
import time
import unittest

from tests import gateways
from tests.standins import site as sites

_SHARDS = [f"s{number}" for number in range(10)]


def make_search(**changed):
  """Returns the route of a search over all shards."""
  search = {"gather": _SHARDS, "topK": 3, "minCoverage": 0.8}
  return sites.make_route("search", **{**search, **changed})


def make_routes():
  """Returns the routes that most tests use."""
  return [
    sites.make_route("plain", service="shop"),
    sites.make_route("once", service="shop", type="non_idempotent"),
    sites.make_route("deep", prefix="/plain/deep/", service="other"),
    make_search(),
  ]


class GatewayTest(unittest.TestCase):
  """One node; two leafs for each service."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.site.put("op/config", sites.make_configuration(7, make_routes()))
    for service in ("shop", "other"):
      for number in range(2):
        body = f"{service}{number}".encode()
        self.add(f"i-{service}-{number}", service, body)
    for shard in range(len(_SHARDS)):
      for number in range(2):
        records = sites.make_records(10 * shard, 10 * shard + 5)
        self.add(f"i-s{shard}-{number}", _SHARDS[shard], records + b"rest")
    self.node = self.enterContext(gateways.Node(self.site, "n0"))
    self.node.wait_ready()

  def add(self, instance, service, body):
    self.site.add_leaf(sites.Leaf(instance, service, body))

  def get_leafs(self, service):
    return [
      leaf for leaf in self.site.leafs.values() if leaf.service == service
    ]

  def set_behaviour(self, service, behaviour, delay_s=0.002):
    for leaf in self.get_leafs(service):
      leaf.behaviour, leaf.delay_s = behaviour, delay_s

  def count_runs(self, request_id):
    return sum(leaf.runs.count(request_id) for leaf in self.site.leafs.values())

  def test_passes_on_unchanged(self):
    reply = self.node.send(
      "/plain/a%20b?x=1&y=%2F",
      method="POST",
      body=b"hello",
      request_id="r-1",
      **{"X-Other": "kept", "Connection": "x-hop", "X-Hop": "dropped"},
    )
    (message,) = [
      arrival for leaf in self.get_leafs("shop") for arrival in leaf.arrivals
    ]
    self.assertEqual(reply.status, 200)
    self.assertEqual(message.method, "POST")
    self.assertEqual(message.target, "/plain/a%20b?x=1&y=%2F")
    self.assertEqual(message.body, b"hello")
    self.assertEqual(message.headers["host"], "shop.example")
    self.assertEqual(message.headers["x-other"], "kept")
    self.assertNotIn("x-hop", message.headers)
    self.assertEqual(message.headers["bronzefold-request-id"], "r-1")
    left_ms = int(message.headers["bronzefold-deadline-ms"])
    self.assertGreater(left_ms, 800)
    self.assertLessEqual(left_ms, 1000)
    seal = reply.headers["bronzefold-response-seal"]
    self.assertTrue(seal.endswith("r-1"))
    self.assertIn(reply.body, (b"shop0", b"shop1"))

  def test_chunked_body(self):
    with socket.create_connection(
      ("127.0.0.1", self.node.front_port)
    ) as opened:
      opened.sendall(
        b"POST /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Bronzefold-Request-Id: r-2\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
      )
      self.assertIn(b"200", opened.recv(100))
    bodies = [
      arrival.body
      for leaf in self.get_leafs("shop")
      for arrival in leaf.arrivals
    ]
    self.assertEqual(bodies, [b"abcde"])

  def test_smuggled_request_is_refused(self):
    with socket.create_connection(
      ("127.0.0.1", self.node.front_port)
    ) as opened:
      opened.sendall(
        b"POST /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Bronzefold-Request-Id: r-3\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /plain/"
      )
      self.assertIn(b"400", opened.recv(100))
    self.assertEqual(self.count_runs("r-3"), 0)

  def test_longest_prefix_and_unknown_routes(self):
    self.assertTrue(self.node.send("/plain/deep/x").body.startswith(b"other"))
    self.assertTrue(self.node.send("/plain/deeper").body.startswith(b"shop"))
    self.assertEqual(self.node.send("/nothing/").status, 404)
    unknown_host = {"Host": "elsewhere.example"}
    self.assertEqual(self.node.send("/plain/", **unknown_host).status, 404)

  def test_request_without_id_is_malformed(self):
    reply = gateways.call(
      self.node.front_port, "/plain/", headers={"Host": "shop.example"}
    )
    self.assertEqual(reply.status, 400)

  def test_large_head_is_refused(self):
    reply = self.node.send("/plain/", **{"X-Large": "x" * 16384})
    self.assertEqual(reply.status, 431)

  def test_head_request_has_no_body(self):
    reply = self.node.send("/plain/x", method="HEAD", deadline_ms=900)
    self.assertEqual((reply.status, reply.body), (200, b""))
    self.assertLess(reply.took_s, 0.9)

  def test_large_body_is_refused(self):
    reply = self.node.send("/plain/", method="POST", body=b"x" * 262145)
    self.assertEqual(reply.status, 413)

  def test_failure_of_an_upstream_keeps_its_seal(self):
    self.set_behaviour("shop", "fail")
    reply = self.node.send("/once/x", method="POST", request_id="r-4")
    self.assertEqual((reply.status, reply.body), (500, b"failed"))
    self.assertIn("bronzefold-response-seal", reply.headers)
    self.assertEqual(self.count_runs("r-4"), 1)

  def test_lost_answer_of_a_request_that_may_run_once(self):
    for behaviour in ("reset", "truncate", "garbage"):
      with self.subTest(behaviour=behaviour):
        self.set_behaviour("shop", behaviour)
        name = f"r-{behaviour}"
        reply = self.node.send("/once/x", method="POST", request_id=name)
        # 503 would promise that it has not run.
        self.assertIn(reply.status, (502, 504))
        self.assertNotIn("bronzefold-response-seal", reply.headers)
        self.assertEqual(self.count_runs(name), 1)

  def test_refused_request_that_may_run_once_goes_to_another(self):
    first, second = self.get_leafs("shop")
    first.behaviour = "shed"
    replies = [self.node.send("/once/x", method="POST") for _ in range(6)]
    self.assertEqual({reply.status for reply in replies}, {200})
    self.assertEqual(len(second.runs), 6)

  def test_refused_by_all_promises_not_run(self):
    self.set_behaviour("shop", "shed")
    reply = self.node.send("/once/x", method="POST", request_id="r-5")
    self.assertEqual(reply.status, 503)
    self.assertGreater(float(reply.headers["retry-after"]), 0)
    self.assertEqual(self.count_runs("r-5"), 0)

  def test_lost_answer_is_sent_again_when_idempotent(self):
    first, second = self.get_leafs("shop")
    for behaviour in ("reset", "truncate", "garbage"):
      with self.subTest(behaviour=behaviour):
        first.behaviour = second.behaviour = behaviour
        second.behaviour = "serve"
        replies = [self.node.send("/plain/x") for _ in range(5)]
        self.assertEqual({reply.body for reply in replies}, {b"shop1"})

  def test_answer_without_length(self):
    self.set_behaviour("shop", "unframed")
    reply = self.node.send("/plain/x")
    self.assertEqual(reply.status, 200)
    self.assertIn(reply.body, (b"shop0", b"shop1"))

  def test_stray_answers_reach_nobody(self):
    for behaviour in ("stray", "extra"):
      self.set_behaviour("shop", behaviour)
      for number in range(5):
        name = f"r-{behaviour}-{number}"
        reply = self.node.send("/plain/x", request_id=name)
        self.assertIn(reply.body, (b"shop0", b"shop1"))
        seal = reply.headers["bronzefold-response-seal"]
        self.assertTrue(seal.endswith(name))

  def test_address_of_another_upstream(self):
    """A registration that outlived its upstream leads to another service."""
    gone, sibling = self.get_leafs("shop")
    other = self.get_leafs("other")[0]
    # Slower than what is expected of an upstream that never answered.
    sibling.delay_s = 0.05
    self.site.beat(gone, address=f"127.0.0.1:{other.port}", sequence=2)
    gateways.wait_until(
      lambda: len(self.node.read_events("instance_changed")) > 24, "the change"
    )
    replies = [self.node.send("/plain/x") for _ in range(10)]
    self.assertEqual({reply.body for reply in replies}, {b"shop1"})
    self.assertEqual(other.runs, [])
    # Each of them counts as an extra arrival at the other service.
    self.assertLessEqual(len(other.arrivals), 1)
    self.assertEqual(len(sibling.runs), 10)

  def test_deadline_is_kept_when_no_answer_comes(self):
    self.set_behaviour("shop", "serve", delay_s=30)
    reply = self.node.send("/once/x", method="POST", deadline_ms=300)
    self.assertEqual(reply.status, 504)
    self.assertLess(reply.took_s, 0.6)

  def test_caller_that_leaves_stops_the_work(self):
    self.set_behaviour("shop", "serve", delay_s=5)
    with socket.create_connection(
      ("127.0.0.1", self.node.front_port)
    ) as opened:
      opened.sendall(
        b"GET /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Bronzefold-Request-Id: r-6\r\nBronzefold-Deadline-Ms: 6000\r\n\r\n"
      )
      gateways.wait_until(lambda: self.count_runs("r-6"), "the run")
    left_at = time.monotonic()
    gateways.wait_until(
      lambda: any(leaf.cancelled for leaf in self.get_leafs("shop")),
      "the cancellation",
    )
    self.assertLess(time.monotonic() - left_at, 0.5)

  def test_search_merges_the_greatest(self):
    reply = self.node.send("/search/x", request_id="r-7")
    self.assertEqual(reply.status, 200)
    self.assertEqual(reply.body, sites.make_records(95, 90, 85))
    self.assertEqual(len(reply.parts), 10)
    self.assertEqual(len(set(reply.parts)), 10)
    self.assertTrue(all(seal.endswith("r-7") for seal in reply.parts))
    self.assertEqual(reply.headers["bronzefold-missing-parts"], "0")

  def test_search_leaves_out_a_dead_shard(self):
    for leaf in self.get_leafs("s9"):
      self.site.stop_leaf(leaf)
    reply = self.node.send("/search/x")
    self.assertEqual(reply.status, 200)
    self.assertEqual(reply.body, sites.make_records(85, 80, 75))
    self.assertEqual(len(reply.parts), 9)
    self.assertEqual(reply.headers["bronzefold-missing-parts"], "1")

  def test_search_answers_before_its_objective(self):
    self.set_behaviour("s9", "serve", delay_s=5)
    reply = self.node.send("/search/x", deadline_ms=2000, request_id="r-8")
    self.assertEqual(reply.headers["bronzefold-missing-parts"], "1")
    (event,) = [
      event
      for event in self.node.read_events("request_answered")
      if event["request"] == "r-8"
    ]
    # The node's own time, as the caller's adds what this machine takes to
    # schedule the test.
    self.assertLess(event["took_ms"], 400)
    self.assertLess(reply.took_s, 1.0)

  def test_search_without_coverage_is_no_success(self):
    for service in ("s7", "s8", "s9"):
      self.set_behaviour(service, "fail")
    reply = self.node.send("/search/x")
    self.assertEqual(reply.status, 503)
    self.assertIn("retry-after", reply.headers)

  def test_failure_of_an_upstream_is_not_a_part(self):
    self.set_behaviour("s9", "fail")
    reply = self.node.send("/search/x")
    self.assertEqual(reply.body, sites.make_records(85, 80, 75))
    self.assertEqual(len(reply.parts), 9)

  def test_paused_upstream_is_hedged(self):
    first, second = self.get_leafs("s9")
    for _ in range(20):
      self.node.send("/search/x")
    first.delay_s = 2.0
    replies = [self.node.send("/search/x") for _ in range(5)]
    for reply in replies:
      self.assertEqual(reply.headers["bronzefold-missing-parts"], "0")
      self.assertLess(reply.took_s, 0.35)
    self.assertGreaterEqual(len(second.runs), 5)

  def test_connections_stay_under_the_cap(self):
    self.set_behaviour("shop", "serve", delay_s=0.1)
    threads = [
      threading.Thread(target=self.node.send, args=("/plain/x",))
      for _ in range(80)
    ]
    for thread in threads:
      thread.start()
    for thread in threads:
      thread.join()
    for leaf in self.get_leafs("shop"):
      self.assertLessEqual(leaf.most_connections, 26)

  def test_extra_arrivals_stay_in_the_budget(self):
    """Every answer is lost; the budget bounds what is sent again."""
    self.set_behaviour("shop", "reset")
    for _ in range(150):
      self.node.send("/plain/x")
    arrivals = sum(len(leaf.arrivals) for leaf in self.get_leafs("shop"))
    self.assertLessEqual(arrivals - 150, 0.2 * 150 + 56)

  def test_metrics(self):
    for _ in range(3):
      self.node.send("/plain/x")
    text = gateways.call(self.node.metrics_port, "/metrics").body.decode()
    labels = 'outcome="served",route="plain",service="gateway"'
    self.assertIn(f"bronzefold_requests_total{{{labels}}} 3", text)
    self.assertIn('bronzefold_sends_total{reason="first"} 3', text)
    self.assertIn('bronzefold_state{name="configuration_version"} 7', text)

  def test_weights_of_a_split(self):
    route = sites.make_route(
      "split",
      type="non_idempotent",
      trafficSplit=[
        {"service": "shop", "weight": 3},
        {"service": "other", "weight": 1},
      ],
    )
    routes = [*make_routes(), route]
    self.site.put("op/config", sites.make_configuration(9, routes))
    gateways.wait_until(
      lambda: self.node.send("/split/x").status == 200, "the route"
    )
    for leaf in self.site.leafs.values():
      leaf.runs.clear()
    for _ in range(40):
      self.node.send("/split/x")
    runs = sum(len(leaf.runs) for leaf in self.get_leafs("shop"))
    self.assertEqual(runs, 30)


if __name__ == "__main__":
  unittest.main()
