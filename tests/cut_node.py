"""Runs a gateway node whose paths to all upstreams a test can cut.

They are cut while the file exists that ``BRONZEFOLD_TEST_CUT`` names:
connections hang, and nothing that is sent on open ones arrives.
"""

import asyncio
import os
import pathlib
import sys

from bronzefold.core import exceptions
from bronzefold.platform import __main__ as program
from bronzefold.upstreams import channel

CUT = pathlib.Path(os.environ["BRONZEFOLD_TEST_CUT"])

open_channel = channel.open_channel
start = channel.Channel.start
data_received = channel.Channel.data_received


async def open_unless_cut(address, timeout_s, budget):
  if CUT.exists():
    await asyncio.sleep(timeout_s)
    raise exceptions.ConnectFailedError("cut")
  return await open_channel(address, timeout_s, budget)


def start_unless_cut(self, data, is_response, has_body=True):
  return start(self, b"" if CUT.exists() else data, is_response, has_body)


def receive_unless_cut(self, data):
  if not CUT.exists():
    data_received(self, data)


if __name__ == "__main__":
  channel.open_channel = open_unless_cut
  channel.Channel.start = start_unless_cut
  channel.Channel.data_received = receive_unless_cut
  sys.exit(program.main())
