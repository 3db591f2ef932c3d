"""Demonstrates searches, actions and zone changes on a small local fleet."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time

from tests import fleet

_BINARIES = pathlib.Path(sys.executable).parent


def print_line(text: str) -> None:
  """Prints a line without buffering."""
  print(text, flush=True)


def run_ctl(running: fleet.Fleet, *args: str) -> None:
  """Runs ``bronzefoldctl`` and prints its standard output."""
  command = [
    str(_BINARIES / "bronzefoldctl"),
    f"--platform={running.store_address}",
    *args,
  ]
  print_line(f"$ bronzefoldctl {' '.join(args)}")
  completed = subprocess.run(
    command, capture_output=True, text=True, check=False
  )
  print_line("  " + completed.stdout.strip().replace("\n", "\n  "))


def show_search(running: fleet.Fleet, node: str) -> None:
  """Searches for the nearest full argon cylinders and prints the result."""
  query = {"x": 40_000, "y": 60_000, "gas": "argon", "limit": 3}
  started = time.monotonic()
  status, reply = running.search(node, "nearest", query)
  took_ms = (time.monotonic() - started) * 1e3
  coverage = reply["coverage"]
  print_line(
    f"search by {node}: status {status}, snapshot {reply['snapshot']}, "
    f"{coverage['covered']} of {coverage['total']} records, {took_ms:.0f} ms"
  )
  for distance, key, record in reply["result"]["rows"]:
    print_line(f"  cylinder {key}: {record['gas']}, distance² {distance}")


def main() -> None:
  """Runs the demonstration."""
  with fleet.Fleet(nodes=3, shards=64, records=5000) as running:
    print_line("started: store, 4 upstreams, nodes n0, n1 and n2")
    path = running.path / "fuel.json"
    path.write_text(json.dumps(running.make_document(), indent=2))
    run_ctl(running, "apply", str(path))
    running.wait_until_warm()
    run_ctl(running, "upstreams")
    show_search(running, "n0")
    body = {"truck": 4, "cylinder": 17}
    for node in ("n0", "n1"):
      status, reply = running.run_action(node, "booking-17", body)
      print_line(
        f"booking by {node}: status {status}, outcome {reply['outcome']}, "
        f"repeated {reply['repeated']}"
      )
    executions = running.fetch_counts()["executions"]["booking-17"]
    print_line(f"the upstreams executed the booking {executions} time(s)")
    run_ctl(running, "zone", "b", "out")
    show_search(running, "n1")
    run_ctl(running, "upstreams")
    run_ctl(running, "zone", "b", "in")
    run_ctl(running, "nodes")
  print_line("stopped: all processes have ended")


if __name__ == "__main__":
  main()
