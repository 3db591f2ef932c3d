"""Bodies without end, in small chunks, take nodes over their memory."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SHARDS = [f"dispatch-desk-{number}" for number in range(1, 21)]
WORK_S = 0.011
RECORDS = 12  # of 16 bytes, in each part
DEADLINE_MS = 1500
MEMORY_KB = 300 * 1000  # memoryMb of the settings
SAMPLE_PERIOD_S = 0.05
RESTART_DELAY_S = 1.0
DURATION_S = 40.0
REQUEST_PERIOD_S = 0.15  # of each node's clients
# One of the two leafs of each shard spoils 4 in 100 of its answers.
GARBLED_SHARE = 0.04
# The body of an answer that goes on until the caller closes.
CHUNKS = b"2\r\nab\r\n" * 2000
MAX_ENDS = 3  # in a day, on two machines: a fault


class Leaf:
  """A leaf; with trouble, one that garbles sends some bodies without end."""

  def __init__(
    self, name: str, record: harness.Record, is_garbling: bool
  ) -> None:
    self.name = name
    self.is_garbling = is_garbling and harness.TROUBLE
    self.answers = 0
    self.endless_answers = 0
    self._record = record
    self._luck = random.Random(name)

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
        await asyncio.sleep(WORK_S)
        self.answers += 1
        seal = {"Bronzefold-Response-Seal": f"{self.name}.{request_id}"}
        if self._is_spoiled():
          await self._send_without_end(request_id, {**echo, **seal}, writer)
        body = self._luck.randbytes(16 * RECORDS)
        writer.write(harness.make_answer("200 OK", {**echo, **seal}, body))
    except ConnectionError:
      pass
    finally:
      writer.close()

  def _is_spoiled(self) -> bool:
    return (
      self.is_garbling
      and self.endless_answers + 1 <= GARBLED_SHARE * self.answers
      and self._luck.random() < GARBLED_SHARE
    )

  async def _send_without_end(
    self, request_id: str, headers: dict[str, str], writer: asyncio.StreamWriter
  ) -> None:
    """Sends chunks until the caller closes the connection."""
    self.endless_answers += 1
    self._record.write(f"{self.name} answers without end {request_id}")
    fields = {**headers, "Transfer-Encoding": "chunked"}
    writer.write(harness.make_answer("200 OK", fields, b"", False))
    sent = 0
    try:
      while True:
        writer.write(CHUNKS)
        await writer.drain()
        sent += len(CHUNKS)
    finally:
      self._record.write(f"{self.name} closed after {sent} bytes {request_id}")


class Platform:
  """Kills a process that exceeds its memory, and starts it again."""

  def __init__(self, record: harness.Record, nodes: list[harness.Node]) -> None:
    self.ends: collections.Counter[str] = collections.Counter()
    self.other_ends: collections.Counter[str] = collections.Counter()
    self.peak_kb: collections.Counter[str] = collections.Counter()
    self.is_running = True
    self._record = record
    self._nodes = nodes

  def watch(self, node: harness.Node) -> None:
    """Watches a node until the end of the case."""
    while self.is_running:
      used_kb = node.read_memory_kb()
      self.peak_kb[node.name] = max(self.peak_kb[node.name], used_kb)
      if node.process.poll() is not None:
        self.other_ends[node.name] += 1
        self._restart(node, f"ended with {node.process.returncode}")
      elif used_kb > MEMORY_KB:
        node.process.kill()
        node.process.wait()
        self.ends[node.name] += 1
        self._restart(node, f"killed: {used_kb} kB of {MEMORY_KB} kB")
      time.sleep(SAMPLE_PERIOD_S)

  def _restart(self, node: harness.Node, reason: str) -> None:
    self._record.write(f"{node.name} {reason}")
    time.sleep(RESTART_DELAY_S)
    node.start()


class Clients:
  """Clients of one node, which send at a steady pace."""

  def __init__(self, node: harness.Node, record: harness.Record) -> None:
    self.statuses: collections.Counter[int] = collections.Counter()
    self._node = node
    self._record = record

  def run(self, until: float) -> None:
    """Sends until a monotonic time and waits for the answers."""
    threads = []
    number = 0
    while time.monotonic() < until:
      request_id = f"{self._node.name[-1]}{number:015x}"
      thread = threading.Thread(target=self._send, args=(request_id,))
      thread.start()
      threads.append(thread)
      number += 1
      time.sleep(REQUEST_PERIOD_S)
    for thread in threads:
      thread.join()

  def _send(self, request_id: str) -> None:
    sent_at = time.monotonic()
    answer = harness.send(self._node, "/recon/1", request_id, DEADLINE_MS)
    took_ms = round((time.monotonic() - sent_at) * 1e3)
    self.statuses[answer.status] += 1
    self._record.write(f"client {request_id}: {answer.status}, {took_ms} ms")


def play(site, record: harness.Record, nodes: list[harness.Node]) -> bool:
  """Plays the case; returns whether the rule held."""
  loop = harness.Loop()
  route = harness.make_route(
    "recon",
    gather=SHARDS,
    topK=10,
    minCoverage=0.89,
    timeoutMs=DEADLINE_MS,
    targetLatencyMs=100,
  )
  site.put("op/config", harness.make_configuration(3, [route], SHARDS))
  leafs = []
  for index, shard in enumerate(SHARDS):
    for zone_index, zone in enumerate(("bkk-north", "bkk-south")):
      name = f"i-{shard.rpartition('-')[2]}-{zone[4:]}"
      leaf = Leaf(name, record, index % 2 == zone_index)
      address = loop.listen(leaf.serve)
      report = harness.make_report(shard, address, zone=zone)
      site.put(f"servers/{leaf.name}", report)
      leafs.append(leaf)
  (peer_port,) = harness.find_ports("127.0.0.1", 1)
  for number in (1, 2):
    nodes.append(
      harness.Node(
        f"edge-{number}",
        site.store_address,
        ip=f"127.0.0.{number}",
        peer_port=peer_port,
        zone="bkk-north" if number == 1 else "bkk-south",
      )
    )
  for node in nodes:
    harness.wait_until(node.is_ready, "ready")
  time.sleep(2.0)
  platform = Platform(record, nodes)
  clients = [Clients(node, record) for node in nodes]
  until = time.monotonic() + DURATION_S
  watches = [
    threading.Thread(target=platform.watch, args=(node,)) for node in nodes
  ]
  loads = [threading.Thread(target=each.run, args=(until,)) for each in clients]
  for thread in [*watches, *loads]:
    thread.start()
  for thread in loads:
    thread.join()
  platform.is_running = False
  for thread in watches:
    thread.join()
  for leaf in leafs:
    if leaf.is_garbling:
      record.write(
        f"{leaf.name}: {leaf.answers} answers, {leaf.endless_answers} without "
        "end"
      )
  for node, each in zip(nodes, clients, strict=True):
    record.write(
      f"{node.name}: killed {platform.ends[node.name]} times for its memory, "
      f"ended otherwise {platform.other_ends[node.name]} times, peak "
      f"{platform.peak_kb[node.name]} kB; answers by status, 0 for none: "
      f"{dict(each.statuses)}"
    )
  return sum(count >= MAX_ENDS for count in platform.ends.values()) < 2


if __name__ == "__main__":
  sys.exit(harness.run_case(FOLDER, play))
