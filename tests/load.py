"""Callers that send requests in a closed loop, for tests."""

from __future__ import annotations

from collections.abc import Callable
import random
import threading
import time

import attrs
import httpcore

from tests import fleet


@attrs.frozen
class Record:
  """One request of a caller.

  Attributes:
    node: Name of the node.
    started: Wall time of the start.
    ended: Wall time of the end.
    status: HTTP status, 0 when the connection failed.
    reply: Decoded body, empty when the connection failed.
    key: Idempotency key, empty for a search.
  """

  node: str
  started: float
  ended: float
  status: int
  reply: dict
  key: str = ""

  @property
  def complete(self) -> bool:
    return self.status == 200 and self.reply.get("complete", False)


class Load:
  """Runs callers while a block is executed."""

  def __init__(
    self,
    running: fleet.Fleet,
    callers: int = 4,
    nodes: list[str] | None = None,
    route: str = "groups",
    query: dict | None = None,
    action_share: float = 0.0,
    pause_s: float = 0.0,
    seed: int = 1,
    **body: object,
  ) -> None:
    self.fleet = running
    self.nodes = nodes or list(running.settings)
    self.route, self.query, self.body = route, query or {}, body
    self.action_share = action_share
    self.pause_s = pause_s
    self.records: list[Record] = []
    self._stopped = threading.Event()
    self._threads = [
      threading.Thread(target=self._run, args=(random.Random(seed + i), i))
      for i in range(callers)
    ]

  def __enter__(self) -> Load:
    for thread in self._threads:
      thread.start()
    return self

  def __exit__(self, *_: object) -> None:
    self._stopped.set()
    for thread in self._threads:
      thread.join()

  def _run(self, generator: random.Random, index: int) -> None:
    number = 0
    while not self._stopped.is_set():
      number += 1
      node = generator.choice(self.nodes)
      if generator.random() < self.action_share:
        key = f"key-{index}-{number}"
        self._record(node, key, lambda n=node, k=key: self._act(n, k))
      else:
        self._record(node, "", lambda n=node: self._search(n))
      time.sleep(self.pause_s)

  def _search(self, node: str) -> tuple[int, dict]:
    return self.fleet.search(node, self.route, self.query, **self.body)

  def _act(self, node: str, key: str) -> tuple[int, dict]:
    return self.fleet.act(node, key, {"key": key})

  def _record(
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
    self.records.append(Record(node, started, time.time(), status, reply, key))


def wait_until(
  condition: Callable[[], bool], timeout_s: float, pause_s: float = 0.05
) -> bool:
  """Waits until a condition holds; false when it never does."""
  until = time.monotonic() + timeout_s
  while time.monotonic() < until:
    if condition():
      return True
    time.sleep(pause_s)
  return False
