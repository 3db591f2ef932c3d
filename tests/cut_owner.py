"""Runs a node whose paths to all upstreams a test can cut.

They are cut while a file exists that is named as its settings and ``.cut``.
"""

import asyncio
import pathlib
import sys

from expression import Error

from bronzefold import signals
from bronzefold.core import exceptions
from bronzefold.node import main
from bronzefold.upstreams import connection

CUT = pathlib.Path(sys.argv[1].partition("=")[2] + ".cut")

send_request = connection.UpstreamConnection._send_request


async def send_unless_cut(self, request, request_id, timeout_s):
  if CUT.exists():
    await asyncio.sleep(min(timeout_s, 0.3))
    return Error(exceptions.ConnectFailedError("cut"))
  return await send_request(self, request, request_id, timeout_s)


if __name__ == "__main__":
  connection.UpstreamConnection._send_request = send_unless_cut
  main.run(signals.capture_signals())
