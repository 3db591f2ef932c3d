"""The stand-in of an upstream of the product's own interface."""

import types
import unittest

import anyio

from tests.standins import upstream as standin


class RestartTest(unittest.TestCase):
  """A restart while requests wait between their arrival and their execution."""

  def test_request_read_before_a_restart_counts_after_it(self):
    async def run():
      upstream = standin.Upstream({"name": "leaf", "connect_s": 0.05}, HOST)
      endpoints = standin.UpstreamEndpoints(upstream)
      async with anyio.create_task_group() as tasks:
        for port in (1, 2):
          tasks.start_soon(endpoints.search, make_request(port))
        await anyio.sleep(0.01)
        upstream.restart()
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
      return upstream

    upstream = anyio.run(run)
    self.assertEqual(upstream.overload_count, 0)
    self.assertEqual(upstream.request_times, [])


HOST = types.SimpleNamespace(
  snapshots=[1],
  get_shards=lambda snapshot: [{"shard": 0, "low": 0, "high": 9, "records": 0}],
  get_slices=lambda snapshot: [()],
)


def make_request(port):
  """Makes a search request from a new connection."""

  async def read_json():
    return {
      "request": "r",
      "snapshot": 1,
      "shards": [0],
      "route": "top",
      "query": {"limit": 1},
    }

  async def receive():
    await anyio.sleep_forever()

  return types.SimpleNamespace(
    client=("127.0.0.1", port),
    headers={},
    json=read_json,
    receive=receive,
  )


if __name__ == "__main__":
  unittest.main()
