"""Partitions one node from all leafs; see claim.txt."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig as rigs  # noqa: E402 (found by the line above)

CONTACT_S = 4.0
CUT_S = 12.0
PER_S = 10.0  # requests to each node
DEADLINE_MS = 1000


async def run(rig: rigs.Rig) -> int:
  """Runs the case."""
  for number in (1, 2):
    await rig.add_leaf(
      rigs.Leaf(f"i-lookup{number}", "lookup", f"127.0.2.{number}")
    )
  for shard in ("s0", "s1"):
    for number in (1, 2):
      name = f"i-{shard}{number}"
      await rig.add_leaf(rigs.Leaf(name, shard, f"127.0.2.{number}"))
  routes = [
    rigs.make_route("lookup", service="lookup", timeoutMs=1000),
    rigs.make_route("search", gather=["s0", "s1"], topK=5, minCoverage=0.75),
  ]
  rig.store.put("op/config", rigs.make_configuration(7, routes))
  await rig.add_nodes(["z1", "z2", "z3"], [1])
  cut_node = rig.nodes[0]
  results: list[tuple[float, int, bool]] = []

  async def send(node: rigs.Node) -> None:
    sent_at = time.monotonic()
    reply = await rig.ask(node, "/lookup/7", deadline_ms=DEADLINE_MS)
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
  await asyncio.sleep(4)
  if not any(gate.passed_bytes for gate in rig.gates.values()):
    raise rigs.CouldNotRunError("the node does not use its gates")
  if not results or not all(is_served for _, _, is_served in results):
    raise rigs.CouldNotRunError("a request failed before the disruption")
  cut_at = time.monotonic()
  if rig.has_trouble:
    rig.record.say(f"{cut_node.name} is partitioned from all leafs")
    for gate in rig.gates.values():
      gate.set_mode("hang")
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
