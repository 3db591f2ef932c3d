"""A leaf that was full answers twice; the action is refused and runs."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

SERVICE = "clerk-counter"
WORK_S = 0.02
ACTIONS = 200
FULL_PERIOD = 40  # the leafs are full at each so-manyth action


class Leaf:
  """A leaf that is full when some requests arrive for the first time.

  With trouble, a leaf that garbles sends such a 503 a second time, where the
  next answer on that connection is expected.
  """

  def __init__(
    self, name: str, record: harness.Record, is_garbling: bool
  ) -> None:
    self.name = name
    self.answers = 0
    self.extra_answers = 0
    self._is_garbling = is_garbling and harness.TROUBLE
    self.runs: collections.Counter[str] = collections.Counter()
    self.is_full = False
    self._refused: set[str] = set()
    self._record = record

  async def serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    """Serves a connection."""
    extra = b""
    try:
      while (request := await harness.read_request(reader)) is not None:
        first, headers, _ = request
        if first.startswith("GET /healthz"):
          writer.write(
            harness.make_answer(
              "200 OK", {"Bronzefold-Instance-Id": self.name}, b""
            )
          )
          continue
        if extra:
          self._record.write(f"{self.name} sends its 503 a second time")
          self.extra_answers += 1
        writer.write(extra)
        extra = b""
        self.answers += 1
        request_id = headers["bronzefold-request-id"]
        echo = {"Bronzefold-Request-Id": request_id}
        if headers.get("bronzefold-expect-instance") != self.name:
          self._record.write(f"{self.name} 421 {request_id}")
          writer.write(harness.make_answer("421 Other", echo, b""))
          continue
        if self.is_full and request_id not in self._refused:
          self._refused.add(request_id)
          self._record.write(f"{self.name} full, 503 not executed {request_id}")
          refusal = harness.make_answer(
            "503 Full", {**echo, "Bronzefold-Not-Executed": "1"}, b""
          )
          writer.write(refusal)
          if self._is_garbling:
            extra = refusal
          continue
        self.runs[request_id] += 1
        self._record.write(f"{self.name} runs {request_id}")
        await asyncio.sleep(WORK_S)
        seal = {"Bronzefold-Response-Seal": f"{self.name}.{request_id}"}
        writer.write(harness.make_answer("200 OK", {**echo, **seal}, b"done"))
    except ConnectionError:
      pass
    finally:
      writer.close()


def play(site, record: harness.Record, nodes: list[harness.Node]) -> bool:
  """Plays the case; returns whether the rules held."""
  loop = harness.Loop()
  leafs = [Leaf("i-1", record, True), Leaf("i-2", record, False)]
  route = harness.make_route(SERVICE, type="non_idempotent", service=SERVICE)
  site.put("op/config", harness.make_configuration(3, [route], [SERVICE]))
  for leaf in leafs:
    address = loop.listen(leaf.serve)
    zone = "bkk-south" if leaf.name == "i-2" else "bkk-north"
    report = harness.make_report(SERVICE, address, zone=zone)
    site.put(f"servers/{leaf.name}", report)
  node = harness.Node("edge-1", site.store_address)
  nodes.append(node)
  harness.wait_until(node.is_ready, "ready")
  harness.wait_until(
    lambda: len(node.read_log("instance_changed")) >= len(leafs), "leafs known"
  )
  return send_actions(node, SERVICE, leafs, record)


def send_actions(
  node: harness.Node, service: str, leafs: list[Leaf], record: harness.Record
) -> bool:
  """Sends actions to a service; returns whether the rules held."""
  refused: dict[str, int] = {}
  for number in range(ACTIONS):
    for leaf in leafs:
      leaf.is_full = number % FULL_PERIOD == FULL_PERIOD - 1
    request_id = f"{leafs[0].name}-{number:012x}"
    record.write(f"client sends POST {request_id}")
    answer = harness.send(
      node, f"/{service}/1", request_id, 6000, "POST", b"one receipt"
    )
    record.write(f"client gets {answer.status} {request_id}")
    if answer.status in (408, 421, 429, 503):
      refused[request_id] = answer.status
    time.sleep(0.03)
  time.sleep(1.0)
  runs: collections.Counter[str] = collections.Counter()
  for leaf in leafs:
    runs += leaf.runs
    record.write(
      f"{leaf.name}: {leaf.answers} answers, {leaf.extra_answers} of them "
      "followed by a second one"
    )
  twice = {name: count for name, count in runs.items() if count > 1}
  broken = {name: status for name, status in refused.items() if runs[name]}
  record.write(
    f"{service}: {ACTIONS} actions, {len(refused)} refused; refused and run "
    f"(REFUSED): {len(broken)} {broken}; run more than once (TWICE): "
    f"{len(twice)} {twice}"
  )
  return not twice and not broken


if __name__ == "__main__":
  sys.exit(harness.run_case(FOLDER, play))
