"""A gateway node on the stand-in platform: requests, searches, refusals."""

import socket
import threading
import time
import unittest

from tests import gateways
from tests.standins import site as sites

_SHARDS = [f"s{number}" for number in range(10)]


def make_search_route(**changed):
  """Returns the route of a search over all shards, with changed fields."""
  search = {"gather": _SHARDS, "topK": 3, "minCoverage": 0.8}
  return sites.make_route("search", **{**search, **changed})


def make_routes():
  """Returns the routes that most tests use."""
  return [
    sites.make_route("plain", service="shop"),
    sites.make_route("once", service="shop", type="non_idempotent"),
    sites.make_route("deep", prefix="/plain/deep/", service="other"),
    make_search_route(),
  ]


class GatewayTest(unittest.TestCase):
  """One node; two upstreams for each service."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.site.put("op/config", sites.make_configuration(7, make_routes()))
    for service in ("shop", "other"):
      for number in range(2):
        body = f"{service}{number}".encode()
        self.add_upstream(f"i-{service}-{number}", service, body)
    for shard in range(len(_SHARDS)):
      for number in range(2):
        records = sites.make_records(10 * shard, 10 * shard + 5)
        self.add_upstream(
          f"i-s{shard}-{number}", _SHARDS[shard], records + b"rest"
        )
    self.node = self.enterContext(gateways.Node(self.site, "n0"))
    self.node.wait_ready()

  def add_upstream(self, instance, service, body):
    self.site.add_upstream(sites.Upstream(instance, service, body))

  def get_upstreams(self, service):
    return [
      upstream
      for upstream in self.site.upstreams.values()
      if upstream.service == service
    ]

  def set_behaviour(self, service, behaviour, delay_s=0.002):
    for upstream in self.get_upstreams(service):
      upstream.behaviour, upstream.delay_s = behaviour, delay_s

  def count_runs(self, request_id):
    return sum(
      upstream.executed_ids.count(request_id)
      for upstream in self.site.upstreams.values()
    )

  def test_request_is_forwarded_unchanged(self):
    reply = self.node.send(
      "/plain/a%20b?x=1&y=%2F",
      method="POST",
      body=b"hello",
      request_id="r-1",
      **{"X-Other": "kept", "Connection": "x-hop", "X-Hop": "dropped"},
    )
    (message,) = [
      arrival
      for upstream in self.get_upstreams("shop")
      for arrival in upstream.received_requests
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

  def test_chunked_body_is_forwarded(self):
    with socket.create_connection(
      ("127.0.0.1", self.node.front_port)
    ) as connection:
      connection.sendall(
        b"POST /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Bronzefold-Request-Id: r-2\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
      )
      self.assertIn(b"200", connection.recv(100))
    bodies = [
      arrival.body
      for upstream in self.get_upstreams("shop")
      for arrival in upstream.received_requests
    ]
    self.assertEqual(bodies, [b"abcde"])

  def test_smuggled_request_is_refused(self):
    with socket.create_connection(
      ("127.0.0.1", self.node.front_port)
    ) as connection:
      connection.sendall(
        b"POST /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Bronzefold-Request-Id: r-3\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /plain/"
      )
      self.assertIn(b"400", connection.recv(100))
    self.assertEqual(self.count_runs("r-3"), 0)

  def test_longest_prefix_wins_and_unknown_routes_get_404(self):
    self.assertTrue(self.node.send("/plain/deep/x").body.startswith(b"other"))
    self.assertTrue(self.node.send("/plain/deeper").body.startswith(b"shop"))
    self.assertEqual(self.node.send("/nothing/").status, 404)
    unknown_host = {"Host": "elsewhere.example"}
    self.assertEqual(self.node.send("/plain/", **unknown_host).status, 404)

  def test_request_without_id_gets_400(self):
    reply = gateways.call(
      self.node.front_port, "/plain/", headers={"Host": "shop.example"}
    )
    self.assertEqual(reply.status, 400)

  def test_large_head_gets_431(self):
    reply = self.node.send("/plain/", **{"X-Large": "x" * 16384})
    self.assertEqual(reply.status, 431)

  def test_head_response_has_no_body(self):
    reply = self.node.send("/plain/x", method="HEAD", deadline_ms=900)
    self.assertEqual((reply.status, reply.body), (200, b""))
    self.assertLess(reply.took_s, 0.9)

  def test_large_body_gets_413(self):
    reply = self.node.send("/plain/", method="POST", body=b"x" * 262145)
    self.assertEqual(reply.status, 413)

  def test_upstream_failure_keeps_its_seal(self):
    self.set_behaviour("shop", "fail")
    reply = self.node.send("/once/x", method="POST", request_id="r-4")
    self.assertEqual((reply.status, reply.body), (500, b"failed"))
    self.assertIn("bronzefold-response-seal", reply.headers)
    self.assertEqual(self.count_runs("r-4"), 1)

  def test_lost_response_to_non_idempotent_request_is_not_503(self):
    for behaviour in ("reset", "truncate", "garbage"):
      with self.subTest(behaviour=behaviour):
        self.set_behaviour("shop", behaviour)
        name = f"r-{behaviour}"
        reply = self.node.send("/once/x", method="POST", request_id=name)
        # Status 503 would guarantee that the request did not run.
        self.assertIn(reply.status, (502, 504))
        self.assertNotIn("bronzefold-response-seal", reply.headers)
        self.assertEqual(self.count_runs(name), 1)

  def test_response_without_end_holds_its_caller(self):
    first, second = self.get_upstreams("shop")
    for behaviour in ("endless head", "endless body"):
      with self.subTest(behaviour=behaviour):
        self.set_behaviour("shop", behaviour)
        reply = self.node.send("/once/x", method="POST", deadline_ms=5000)
        self.assertEqual(reply.status, 502)
        self.assertLess(reply.took_s, 1.5)
        second.behaviour = "serve"
        replies = [self.node.send("/plain/x") for _ in range(5)]
        self.assertEqual({reply.body for reply in replies}, {b"shop1"})
    gateways.wait_until(
      lambda: first.connections == 0, "the end of the connections"
    )

  def test_refused_non_idempotent_request_goes_to_sibling(self):
    first, second = self.get_upstreams("shop")
    first.behaviour = "shed"
    replies = [self.node.send("/once/x", method="POST") for _ in range(6)]
    self.assertEqual({reply.status for reply in replies}, {200})
    self.assertEqual(len(second.executed_ids), 6)

  def test_request_refused_by_all_gets_503_and_does_not_run(self):
    self.set_behaviour("shop", "shed")
    reply = self.node.send("/once/x", method="POST", request_id="r-5")
    self.assertEqual(reply.status, 503)
    self.assertGreater(float(reply.headers["retry-after"]), 0)
    self.assertEqual(self.count_runs("r-5"), 0)

  def test_lost_response_to_idempotent_request_is_retried(self):
    first, second = self.get_upstreams("shop")
    for behaviour in ("reset", "truncate", "garbage"):
      with self.subTest(behaviour=behaviour):
        first.behaviour = second.behaviour = behaviour
        second.behaviour = "serve"
        replies = [self.node.send("/plain/x") for _ in range(5)]
        self.assertEqual({reply.body for reply in replies}, {b"shop1"})

  def test_upstreams_that_forget_idle_connections(self):
    """A request on a forgotten connection is reset, though it never ran."""
    for upstream in self.get_upstreams("shop"):
      upstream.max_idle_s = 0.3
    for pause_s in (0.1, 0.25, 0.29, 0.31, 0.35, 0.5):
      for path in ("/once/x", "/plain/x"):
        with self.subTest(pause_s=pause_s, path=path):
          method = "POST" if path == "/once/x" else "GET"
          replies = [
            self.node.send(
              path, method=method, request_id=f"r-{pause_s}-{method}"
            )
          ]
          time.sleep(pause_s)
          replies.append(self.node.send(path, method=method))
          self.assertEqual([reply.status for reply in replies], [200, 200])

  def test_response_without_length_is_relayed(self):
    self.set_behaviour("shop", "unframed")
    reply = self.node.send("/plain/x")
    self.assertEqual(reply.status, 200)
    self.assertIn(reply.body, (b"shop0", b"shop1"))

  def test_stray_responses_reach_no_caller(self):
    for behaviour in ("stray", "extra"):
      self.set_behaviour("shop", behaviour)
      for number in range(5):
        name = f"r-{behaviour}-{number}"
        reply = self.node.send("/plain/x", request_id=name)
        self.assertIn(reply.body, (b"shop0", b"shop1"))
        seal = reply.headers["bronzefold-response-seal"]
        self.assertTrue(seal.endswith(name))

  def test_misdirected_request_goes_to_sibling(self):
    """A stale registration holds an address that another service uses now."""
    gone, sibling = self.get_upstreams("shop")
    other = self.get_upstreams("other")[0]
    # Slower than the default latency of an upstream without observations, so
    # that the stale registration is tried first.
    sibling.delay_s = 0.05
    self.site.write_report(gone, address=f"127.0.0.1:{other.port}", sequence=2)
    # 24 upstreams are registered in ``setUp``.
    gateways.wait_until(
      lambda: len(self.node.read_events("instance_changed")) > 24,
      "the changed instance",
    )
    replies = [self.node.send("/plain/x") for _ in range(10)]
    self.assertEqual({reply.body for reply in replies}, {b"shop1"})
    self.assertEqual(other.executed_ids, [])
    # Each arrival counts as an extra request to the other service.
    self.assertLessEqual(len(other.received_requests), 1)
    self.assertEqual(len(sibling.executed_ids), 10)

  def test_expired_deadline_gives_504(self):
    self.set_behaviour("shop", "serve", delay_s=30)
    reply = self.node.send("/once/x", method="POST", deadline_ms=300)
    self.assertEqual(reply.status, 504)
    self.assertLess(reply.took_s, 0.6)

  def test_disconnected_caller_cancels_the_upstream_request(self):
    self.set_behaviour("shop", "serve", delay_s=5)
    with socket.create_connection(
      ("127.0.0.1", self.node.front_port)
    ) as connection:
      connection.sendall(
        b"GET /plain/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"Bronzefold-Request-Id: r-6\r\nBronzefold-Deadline-Ms: 6000\r\n\r\n"
      )
      gateways.wait_until(lambda: self.count_runs("r-6"), "the run")
    left_at = time.monotonic()
    gateways.wait_until(
      lambda: any(
        upstream.cancelled_ids for upstream in self.get_upstreams("shop")
      ),
      "the cancellation",
    )
    self.assertLess(time.monotonic() - left_at, 0.5)

  def test_search_merges_the_greatest_records(self):
    reply = self.node.send("/search/x", request_id="r-7")
    self.assertEqual(reply.status, 200)
    self.assertEqual(reply.body, sites.make_records(95, 90, 85))
    self.assertEqual(len(reply.parts), 10)
    self.assertEqual(len(set(reply.parts)), 10)
    self.assertTrue(all(seal.endswith("r-7") for seal in reply.parts))
    self.assertEqual(reply.headers["bronzefold-missing-parts"], "0")

  def test_search_omits_shard_without_upstreams(self):
    for upstream in self.get_upstreams("s9"):
      self.site.stop_upstream(upstream)
    reply = self.node.send("/search/x")
    self.assertEqual(reply.status, 200)
    self.assertEqual(reply.body, sites.make_records(85, 80, 75))
    self.assertEqual(len(reply.parts), 9)
    self.assertEqual(reply.headers["bronzefold-missing-parts"], "1")

  def test_search_responds_before_its_latency_objective(self):
    self.set_behaviour("s9", "serve", delay_s=5)
    reply = self.node.send("/search/x", deadline_ms=2000, request_id="r-8")
    self.assertEqual(reply.headers["bronzefold-missing-parts"], "1")
    (event,) = [
      event
      for event in self.node.read_events("request_answered")
      if event["request"] == "r-8"
    ]
    # Time as logged by the node; the caller's time includes scheduling delays
    # of the test.
    self.assertLess(event["took_ms"], 400)
    self.assertLess(reply.took_s, 1.0)

  def test_search_that_fails_after_it_ran_is_not_503(self):
    """Status 503 would guarantee that the search did not run."""
    for service in ("s7", "s8", "s9"):
      self.set_behaviour(service, "fail")
    reply = self.node.send("/search/x", request_id="r-7")
    self.assertGreater(self.count_runs("r-7"), 0)
    self.assertEqual(reply.status, 502)
    self.assertIn("retry-after", reply.headers)

  def test_search_that_too_few_shards_can_serve_sends_nothing(self):
    for service in ("s7", "s8", "s9"):
      for upstream in self.get_upstreams(service):
        self.site.stop_upstream(upstream)
    gateways.wait_until(
      lambda: self.node.send("/search/x").status == 503, "the refusal"
    )
    reply = self.node.send("/search/x", request_id="r-8")
    self.assertEqual(reply.status, 503)
    self.assertGreater(float(reply.headers["retry-after"]), 0)
    self.assertEqual(self.count_runs("r-8"), 0)
    self.assertLess(reply.took_s, 0.1)

  def test_upstream_failure_is_not_merged(self):
    self.set_behaviour("s9", "fail")
    reply = self.node.send("/search/x")
    self.assertEqual(reply.body, sites.make_records(85, 80, 75))
    self.assertEqual(len(reply.parts), 9)

  def test_request_to_slow_upstream_is_hedged(self):
    first, second = self.get_upstreams("s9")
    for _ in range(20):
      self.node.send("/search/x")
    first.delay_s = 2.0
    replies = [self.node.send("/search/x") for _ in range(5)]
    for reply in replies:
      self.assertEqual(reply.headers["bronzefold-missing-parts"], "0")
      self.assertLess(reply.took_s, 0.35)
    self.assertGreaterEqual(len(second.executed_ids), 5)

  def test_last_replica_gets_a_request_again_that_it_refused(self):
    """A shard with one replica left, which is full for a moment."""
    first, second = self.get_upstreams("s9")
    self.site.stop_upstream(second)
    first.behaviour = "shed first"
    for _ in range(3):
      reply = self.node.send("/search/x")
      self.assertEqual(reply.headers["bronzefold-missing-parts"], "0")
      self.assertLess(reply.took_s, 0.35)

  def test_upstream_that_is_left_of_many_serves(self):
    for number in range(2, 6):
      self.add_upstream(f"i-shop-{number}", "shop", b"shop")
    upstreams = self.get_upstreams("shop")
    self.node.wait_for_upstreams(*upstreams)
    for upstream in upstreams[:-1]:
      self.site.stop_upstream(upstream)
    self.assertEqual(self.node.send("/plain/x").status, 200)

  def test_plain_request_is_sent_again_to_the_last_replica(self):
    for number, upstream in enumerate(self.get_upstreams("shop")):
      if number:
        self.site.stop_upstream(upstream)
      upstream.behaviour = "shed first"
    for path in ("/plain/x", "/once/x"):
      reply = self.node.send(path, request_id=path)
      self.assertEqual((path, reply.status), (path, 200))
      self.assertEqual(self.count_runs(path), 1)

  def test_connections_stay_within_the_limit(self):
    self.set_behaviour("shop", "serve", delay_s=0.1)
    threads = [
      threading.Thread(target=self.node.send, args=("/plain/x",))
      for _ in range(80)
    ]
    for thread in threads:
      thread.start()
    for thread in threads:
      thread.join()
    for upstream in self.get_upstreams("shop"):
      self.assertLessEqual(upstream.peak_connections, 26)

  def test_retries_stay_within_the_budget(self):
    """All responses are lost; the retry budget bounds the extra requests."""
    self.set_behaviour("shop", "reset")
    for _ in range(150):
      self.node.send("/plain/x")
    arrivals = sum(
      len(upstream.received_requests) for upstream in self.get_upstreams("shop")
    )
    self.assertLessEqual(arrivals - 150, 0.2 * 150 + 56)

  def test_metrics_count_requests_and_sends(self):
    for _ in range(3):
      self.node.send("/plain/x")
    text = gateways.call(self.node.metrics_port, "/metrics").body.decode()
    labels = 'outcome="served",route="plain",service="gateway"'
    self.assertIn(f"bronzefold_requests_total{{{labels}}} 3", text)
    self.assertIn('bronzefold_sends_total{reason="first"} 3', text)
    self.assertIn('bronzefold_state{name="configuration_version"} 7', text)

  def test_traffic_split_follows_weights(self):
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
    for upstream in self.site.upstreams.values():
      upstream.executed_ids.clear()
    for _ in range(40):
      self.node.send("/split/x")
    runs = sum(
      len(upstream.executed_ids) for upstream in self.get_upstreams("shop")
    )
    self.assertEqual(runs, 30)


if __name__ == "__main__":
  unittest.main()
