"""Bytes that are no answer of a leaf reach clients as a success."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "clerk-counter"
WORK_S = 0.01
REQUESTS = 600  # half of them are actions
DEADLINE_MS = 3000
# Two of four leafs spoil up to 2 in 100 of their answers.
GARBLING = ("i-1", "i-3")
GARBLED_SHARE = 0.02
SPOILED = b"HTTP/1.1 200 OK\r\n\r\n"  # then noise, then the connection ends
NOISE_BYTES = 200


class Leaf:
  """A leaf; with trouble, one that garbles spoils some of its answers."""

  def __init__(self, name: str, record: harness.Record) -> None:
    self.name = name
    self.answers = 0
    self.spoiled_answers = 0
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
        if self._must_spoil():
          self.spoiled_answers += 1
          self._record.write(f"{self.name} spoils its answer to {request_id}")
          writer.write(SPOILED + self._luck.randbytes(NOISE_BYTES))
          break
        seal = {"Bronzefold-Response-Seal": f"{self.name}.{request_id}"}
        body = f"receipt for {request_id}".encode()
        writer.write(harness.make_answer("200 OK", {**echo, **seal}, body))
    except ConnectionError:
      pass
    finally:
      writer.close()

  def _must_spoil(self) -> bool:
    return (
      harness.TROUBLE
      and self.name in GARBLING
      and self.spoiled_answers + 1 <= GARBLED_SHARE * self.answers
      and self._luck.random() < 0.5
    )


def play(site, record: harness.Record, nodes: list[harness.Node]) -> bool:
  """Plays the case; returns whether the rule held."""
  loop = harness.Loop()
  routes = [
    harness.make_route("lookups", service=SERVICE),
    harness.make_route("actions", service=SERVICE, type="non_idempotent"),
  ]
  site.put("op/config", harness.make_configuration(3, routes, [SERVICE]))
  leafs = [Leaf(f"i-{number}", record) for number in range(1, 5)]
  for leaf in leafs:
    address = loop.listen(leaf.serve)
    report = harness.make_report(SERVICE, address, concurrency=4)
    site.put(f"servers/{leaf.name}", report)
  node = harness.Node("edge-1", site.store_address)
  nodes.append(node)
  harness.wait_until(node.is_ready, "ready")
  harness.wait_until(
    lambda: len(node.read_log("instance_changed")) >= 4, "leafs known"
  )
  statuses: collections.Counter[int] = collections.Counter()
  broken = []
  for number in range(REQUESTS):
    name, method = (("lookups", "GET"), ("actions", "POST"))[number % 2]
    request_id = f"{name}-{number:08x}"
    body = b"receipt" if method == "POST" else None
    answer = harness.send(
      node, f"/{name}/1", request_id, DEADLINE_MS, method, body
    )
    seal = answer.headers.get("bronzefold-response-seal", "")
    statuses[answer.status] += 1
    record.write(
      f"client gets {answer.status}, seal {seal or 'none'}, "
      f"{len(answer.body)} bytes {request_id}"
    )
    is_success = 200 <= answer.status < 300
    is_right = (
      seal.endswith(f".{request_id}")
      and answer.body == f"receipt for {request_id}".encode()
    )
    if is_success and not is_right:
      broken.append(request_id)
    time.sleep(0.01)
  for leaf in leafs:
    record.write(
      f"{leaf.name}: {leaf.answers} answers, {leaf.spoiled_answers} spoiled"
    )
  record.write(
    f"{REQUESTS} requests, by status {dict(statuses)}; successes without the "
    f"leaf's seal and body (MIXED): {len(broken)} {broken}"
  )
  return not broken


if __name__ == "__main__":
  sys.exit(harness.run_case(FOLDER, play))
