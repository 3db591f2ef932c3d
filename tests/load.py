"""Callers that each send one request after another, for tests."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
import time

import attrs
import httpcore

from tests import fleet


@attrs.frozen
class RequestRecord:
  """One request of a caller.

  Attributes:
    node: Name of the node.
    started: Wall time of the start, seconds since the Unix epoch.
    ended: Wall time of the end, seconds since the Unix epoch.
    status: HTTP status, 0 when the request failed without a valid reply.
    reply: Decoded body, empty when the status is 0.
    key: Idempotency key, empty for a search.
  """

  node: str
  started: float
  ended: float
  status: int
  reply: dict
  key: str = ""

  @property
  def is_complete(self) -> bool:
    """Whether a search succeeded and covered all shards."""
    return self.status == 200 and self.reply.get("complete", False)


class Load:
  """Callers in threads that send requests during a ``with`` block.

  Args:
    target_fleet: The fleet.
    callers: Count of callers; each has a thread.
    nodes: Names of the nodes that callers send to, all by default.
    route: Route of the searches.
    query: Query of the searches.
    action_share: Share of actions among the requests.
    pause_s: Pause of a caller after each request.
    seed: Seed of the choice of nodes and of the kinds of requests.
    **body: Further fields of the body of searches.

  Attributes:
    records: Records of the requests that have ended.
  """

  def __init__(
    self,
    target_fleet: fleet.Fleet,
    callers: int = 4,
    nodes: list[str] | None = None,
    route: str = "groups",
    query: dict | None = None,
    action_share: float = 0.0,
    pause_s: float = 0.0,
    seed: int = 1,
    **body: object,
  ) -> None:
    self.fleet = target_fleet
    self.nodes = nodes or list(target_fleet.settings)
    self.route, self.query, self.body = route, query or {}, body
    self.action_share = action_share
    self.pause_s = pause_s
    self.records: list[RequestRecord] = []
    self._stop_requested = threading.Event()
    self._threads = [
      threading.Thread(
        target=self._run_caller, args=(random.Random(seed + i), i)
      )
      for i in range(callers)
    ]

  def __enter__(self) -> Load:
    for thread in self._threads:
      thread.start()
    return self

  def __exit__(self, *_: object) -> None:
    self._stop_requested.set()
    for thread in self._threads:
      thread.join()

  def _run_caller(self, random_numbers: random.Random, index: int) -> None:
    number = 0
    while not self._stop_requested.is_set():
      number += 1
      node = random_numbers.choice(self.nodes)
      if random_numbers.random() < self.action_share:
        key = f"key-{index}-{number}"
        self._record_request(
          node, key, lambda n=node, k=key: self._run_action(n, k)
        )
      else:
        self._record_request(node, "", lambda n=node: self._run_search(n))
      time.sleep(self.pause_s)

  def _run_search(self, node: str) -> tuple[int, dict]:
    return self.fleet.search(node, self.route, self.query, **self.body)

  def _run_action(self, node: str, key: str) -> tuple[int, dict]:
    return self.fleet.run_action(node, key, {"key": key})

  def _record_request(
    self, node: str, key: str, send: Callable[[], tuple[int, dict]]
  ) -> None:
    started = time.time()
    try:
      status, reply = send()
    except (
      OSError,
      ValueError,
      httpcore.NetworkError,
      httpcore.TimeoutException,
      httpcore.ProtocolError,
    ):
      status, reply = 0, {}
    self.records.append(
      RequestRecord(node, started, time.time(), status, reply, key)
    )


def wait_until(
  condition: Callable[[], bool], timeout_s: float, pause_s: float = 0.05
) -> bool:
  """Waits until a condition holds.

  Returns:
    False when it did not hold within the time limit.
  """
  until = time.monotonic() + timeout_s
  while time.monotonic() < until:
    if condition():
      return True
    time.sleep(pause_s)
  return False
