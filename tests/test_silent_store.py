"""Changes apply in time when connections to the store have gone silent."""

import time
import unittest

from tests import gateways
from tests.standins import site as sites

# The platform's limits, in seconds: from a change to its effect, and from the
# end of a disruption until nodes must keep to that.
APPLY_LIMIT_S = 3.0
CONTACT_S = 4.0


class SilentStoreTest(unittest.TestCase):
  """Five nodes whose connections to the store are silent but open."""

  def setUp(self):
    self.site = self.enterContext(sites.Site())
    self.site.add_upstream(sites.Upstream("i-0", "shop", b"shop"))
    self.version = 0
    self.put_routes("first")
    first = self.enterContext(gateways.Node(self.site, "n0"))
    first.wait_ready()
    seeds = (f"127.0.0.1:{first.peer_port}",)
    others = [
      self.enterContext(gateways.Node(self.site, f"n{number}", seeds=seeds))
      for number in range(1, 5)
    ]
    for node in others:
      node.wait_ready()
    self.nodes = (first, *others)
    self.wait_served("/first/", 10.0)

  def put_routes(self, *names: str) -> None:
    self.version += 1
    routes = [sites.make_route(name, service="shop") for name in names]
    self.site.put("op/config", sites.make_configuration(self.version, routes))

  def wait_served(self, path: str, limit_s: float) -> None:
    for node in self.nodes:
      gateways.wait_until(
        lambda node=node: node.send(path).status == 200,
        f"{node.name} serves {path}",
        limit_s,
      )

  def test_added_route_is_served_in_time_after_connections_went_silent(self):
    for number, delay_s in enumerate((0.0, 0.4, 1.0)):
      with self.subTest(delay_s=delay_s):
        self.site.silence_store_connections()
        silent_at = time.monotonic()
        time.sleep(delay_s)
        name = f"added-{number}"
        self.put_routes("first", name)
        due_at = max(silent_at + CONTACT_S, time.monotonic() + APPLY_LIMIT_S)
        self.wait_served(f"/{name}/", due_at - time.monotonic())

  def test_change_at_the_end_of_a_silent_outage_is_served_in_time(self):
    """Guards against calls that began before the end and are never answered.

    The store serves new connections again; the calls of the outage stay silent.
    """
    for number, delay_s in enumerate((-0.1, 0.05, 0.6)):
      with self.subTest(written_after_end_s=delay_s):
        name = f"dark-{number}"
        self.site.store.mode = "silent"
        time.sleep(3.3 + min(0.0, delay_s))
        if delay_s < 0:
          self.put_routes("first", name)
          time.sleep(-delay_s)
        self.site.store.mode = "up"
        ended_at = time.monotonic()
        if delay_s > 0:
          time.sleep(delay_s)
          self.put_routes("first", name)
        due_at = max(ended_at + CONTACT_S, time.monotonic() + APPLY_LIMIT_S)
        self.wait_served(f"/{name}/", due_at - time.monotonic())


if __name__ == "__main__":
  unittest.main()
