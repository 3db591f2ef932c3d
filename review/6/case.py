"""Partitions a node from all leafs while its connections live on.

See claim.txt.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402 (found by the line above)

CONTACT_S = 4.0
CUT_S = 12.0
PER_S = 6.0  # requests to each node
DEADLINE_MS = 1500
SHARD_COUNT = 20
CLOSE_SHARE = 0.01  # of a leaf's answers end their connection


def close_now_and_then(leaf: rigs.Leaf, draw: random.Random) -> None:
  """Makes a leaf close its connections as PROTOCOL.md says it may."""
  make_answer = leaf.make_answer

  def make_closing_answer(request: rigs.HttpMessage, fields: dict) -> bytes:
    if draw.random() < CLOSE_SHARE:
      fields = {**fields, "Connection": "close"}
    else:
      fields = {**fields, "Keep-Alive": "timeout=5"}
    return make_answer(request, fields)

  leaf.make_answer = make_closing_answer


async def run(rig: rigs.Rig) -> int:
  """Runs the case."""
  draw = random.Random(3)
  shards = [f"shard{number}" for number in range(SHARD_COUNT)]
  for shard in shards:
    for number in (1, 2):
      name, ip = f"i-{shard}-{number}", f"127.0.2.{number}"
      leaf = rigs.Leaf(name, shard, ip, work_s=0.012, body=os.urandom(160))
      close_now_and_then(leaf, draw)
      await rig.add_leaf(leaf)
  route = rigs.make_route(
    "search",
    gather=shards,
    topK=10,
    minCoverage=0.89,
    timeoutMs=1500,
    targetLatencyMs=118,
  )
  rig.store.put("op/config", rigs.make_configuration(7, [route]))
  await rig.add_nodes(["z1", "z2", "z3"], [1])
  cut_node = rig.nodes[0]
  results: list[tuple[float, int, bool]] = []

  async def send(node: rigs.Node) -> None:
    sent_at = time.monotonic()
    reply = await rig.ask(node, "/search/7", deadline_ms=DEADLINE_MS)
    is_served = isinstance(reply, rigs.Reply) and reply.status == 200
    results.append((sent_at, node.number, is_served))

  async def press(node: rigs.Node) -> None:
    while True:
      await asyncio.sleep(1 / PER_S)
      if rig.is_named(node):
        rig.spawn(send(node))

  rig.spawn(rig.follow_directory())
  for node in rig.nodes:
    rig.spawn(press(node))
  await asyncio.sleep(6)
  if not any(gate.passed_bytes for gate in rig.gates.values()):
    raise rigs.CouldNotRunError("the node does not use its gates")
  if not results or not all(is_served for _, _, is_served in results):
    raise rigs.CouldNotRunError("a request failed before the disruption")
  cut_at = time.monotonic()
  if rig.has_trouble:
    rig.record.say(
      f"{cut_node.name} is partitioned from all leafs: its connections live "
      "on, new ones are refused"
    )
    for gate in rig.gates.values():
      gate.set_mode("refuse")
  await asyncio.sleep(CUT_S)
  ended_at = time.monotonic()
  for gate in rig.gates.values():
    if gate.mode != "open":
      gate.set_mode("open")
  await asyncio.sleep(DEADLINE_MS / 1e3 + 0.5)
  judged = [r for r in results if cut_at + CONTACT_S <= r[0] < ended_at]
  return rigs.judge_recovery(rig, judged, cut_node)


if __name__ == "__main__":
  rigs.run_case(run, FOLDER)
