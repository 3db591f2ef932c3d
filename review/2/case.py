"""A change of the settings reaches a node that stops; accepted work is lost."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "clerk-counter"
WORK_S = 0.135  # of a receipt lookup
DEADLINE_MS = 6000
CLIENTS = 6
BEFORE_TERM_S = 1.0
TERM_TO_HUP_S = 0.3
GRACE_S = 6.0
ROUNDS = 3


class Leaf:
  """A sound leaf."""

  def __init__(self, name: str, record: harness.Record) -> None:
    self.name = name
    self.run_ids: set[str] = set()
    self._record = record

  async def serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    """Serves a connection."""
    try:
      while (request := await harness.read_request(reader)) is not None:
        first, headers, _ = request
        if first.startswith("GET /healthz"):
          echo = {"Bronzefold-Instance-Id": self.name}
          writer.write(harness.make_answer("200 OK", echo, b""))
          continue
        request_id = headers["bronzefold-request-id"]
        echo = {"Bronzefold-Request-Id": request_id}
        if headers.get("bronzefold-expect-instance") != self.name:
          writer.write(harness.make_answer("421 Other", echo, b""))
          continue
        self._record.write(f"{self.name} runs {request_id}")
        self.run_ids.add(request_id)
        await asyncio.sleep(WORK_S)
        seal = {"Bronzefold-Response-Seal": f"{self.name}.{request_id}"}
        writer.write(harness.make_answer("200 OK", {**echo, **seal}, b"found"))
    except ConnectionError:
      pass
    finally:
      writer.close()


class Clients:
  """Clients that send one request after the other until they are told."""

  def __init__(
    self, node: harness.Node, record: harness.Record, number: int
  ) -> None:
    self.lost: list[str] = []
    self.sent = 0
    self._node = node
    self._record = record
    self._number = number
    self._is_stopping = threading.Event()
    self._threads = [
      threading.Thread(target=self._run, args=(client,))
      for client in range(CLIENTS)
    ]

  def start(self) -> None:
    """Starts them."""
    for thread in self._threads:
      thread.start()

  def stop(self) -> None:
    """Ends them after their requests in progress."""
    self._is_stopping.set()
    for thread in self._threads:
      thread.join()

  def _run(self, client: int) -> None:
    count = 0
    while not self._is_stopping.is_set():
      request_id = f"{self._number:04x}{client:04x}{count:08x}"
      count += 1
      answer = harness.send(self._node, "/receipts/1", request_id, DEADLINE_MS)
      self._record.write(f"client gets {answer.status} {request_id}")
      self.sent += 1
      if answer.status == 0:
        self.lost.append(request_id)


def play(site, record: harness.Record, nodes: list[harness.Node]) -> bool:
  """Plays the case; returns whether the rule held."""
  loop = harness.Loop()
  leafs = [Leaf(f"i-{number}", record) for number in range(1, 5)]
  route = harness.make_route("receipts", service=SERVICE)
  site.put("op/config", harness.make_configuration(3, [route], [SERVICE]))
  for leaf in leafs:
    address = loop.listen(leaf.serve)
    report = harness.make_report(SERVICE, address, concurrency=4)
    site.put(f"servers/{leaf.name}", report)
  lost: list[str] = []
  for number in range(ROUNDS):
    node = harness.Node(f"edge-{number}", site.store_address)
    nodes.append(node)
    harness.wait_until(node.is_ready, "ready")
    harness.wait_until(
      lambda node=node: len(node.read_log("instance_changed")) >= 4, "leafs"
    )
    clients = Clients(node, record, number)
    clients.start()
    time.sleep(BEFORE_TERM_S)
    record.write(f"{node.name} gets SIGTERM")
    node.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    time.sleep(TERM_TO_HUP_S)
    if harness.TROUBLE:
      node.change_settings()
      record.write(f"the settings change; {node.name} gets SIGHUP")
      node.signal(signal.SIGHUP)
    # All that was sent so far is answered; nothing more is sent.
    clients.stop()
    code = node.process.wait(GRACE_S)
    took_s = time.monotonic() - stopped_at
    # Only those that the node had read and passed on.
    lost_here = [
      request_id
      for request_id in clients.lost
      if any(request_id in leaf.run_ids for leaf in leafs)
    ]
    record.write(
      f"{node.name} ended with {code} {took_s:.2f} s after SIGTERM; "
      f"{clients.sent} requests, {len(lost_here)} of them passed on to a leaf "
      f"and ended with neither an answer nor a refusal: {lost_here}"
    )
    lost += lost_here
  record.write(f"requests lost (LOST): {len(lost)}")
  return not lost


if __name__ == "__main__":
  sys.exit(harness.run_case(FOLDER, play))
