"""Tests of frames between nodes, and of calls whose link is closed."""

import unittest

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec

from bronzefold import peers
from bronzefold.core import exceptions
from bronzefold.peers import messages
from tests import fleet


class FrameTest(unittest.TestCase):
  """Frames are decoded only if a node of the fleet sent them unchanged."""

  def setUp(self):
    self.codec = peers.FrameCodec("fleet", "secret", "n0")
    self.contents = [
      messages.Cancel("r1"),
      messages.SyncRequest(4, True),
      messages.Call("r2", "leaf", "/v1/search", b"{}", 0.2, 1),
    ]

  def test_decoded_frame_equals_encoded_frame(self):
    frame = self.codec.decode(self.codec.encode(self.contents))
    self.assertEqual(frame.sender, "n0")
    self.assertEqual(list(frame.contents), self.contents)

  def test_frame_of_other_fleet_or_secret_is_refused(self):
    parts = self.codec.encode(self.contents)
    for other in (
      peers.FrameCodec("other", "secret", "n1"),
      peers.FrameCodec("fleet", "other", "n1"),
    ):
      with self.assertRaises(exceptions.PeerFrameError):
        other.decode(parts)

  @given(
    position=strategies.integers(0, 8),
    change=strategies.binary(min_size=1, max_size=8),
  )
  @settings(derandomize=True, deadline=None)
  def test_changed_part_is_refused(self, position, change):
    parts = self.codec.encode(self.contents)
    parts[position] = parts[position] + change
    with self.assertRaises(exceptions.PeerFrameError):
      self.codec.decode(parts)

  @given(parts=strategies.lists(strategies.binary(max_size=40), max_size=9))
  @settings(derandomize=True, deadline=None)
  def test_random_parts_are_refused(self, parts):
    with self.assertRaises(exceptions.PeerFrameError):
      self.codec.decode(parts)

  def test_heartbeats_of_earlier_and_later_builds_are_decoded(self):
    fields = {
      "node": "n1",
      "zone": "a",
      "state": "serving",
      "caller_address": "h:1",
      "peer_address": "h:5",
      "platform_age_s": 0.1,
      "config_revision": 7,
      "digest": 0,
      "sent_at": 3.0,
      "echo": None,
    }
    for added in ({}, {"of_a_later_build": [{"service": "s"}]}):
      body = msgspec.msgpack.encode(fields | added)
      heartbeat = messages.decode_message(b"heartbeat", body)
      self.assertEqual(heartbeat.config_revision, 7)
      self.assertEqual(heartbeat.rollouts, ())

  def test_messages_beside_one_of_another_build_are_delivered(self):
    parts = self.codec.encode(self.contents)
    for name, body in ((b"of_a_later_build", b"\x80"), (b"cancel", b"\xc1")):
      with self.subTest(name=name):
        mixed = [*parts[1:5], name, body, *parts[5:]]
        frame = self.codec.decode([self.codec._sign(mixed), *mixed])
        self.assertEqual(list(frame.contents), self.contents)
        self.assertEqual([skipped.name for skipped in frame.skipped], [name])

  def test_unknown_and_malformed_messages_are_refused(self):
    for name, body in (
      (b"none", b""),
      (b"cancel", b"\xc1"),
      (b"call", b"\x80"),
    ):
      with self.assertRaises(exceptions.PeerFrameError):
        messages.decode_message(name, body)


class LeavingNodeTest(unittest.IsolatedAsyncioTestCase):
  """A node whose calls are in progress at another node that leaves."""

  async def call_and_disconnect(self, response_delay_s):
    """Returns the outcome of a call whose link closes after 0.05 s."""
    caller_address, owner_address = (
      f"127.0.0.1:{port}" for port in fleet.find_ports(2)
    )
    outcomes = []

    async def ignore(sender, message):
      del sender, message

    async def respond(sender, message):
      if isinstance(message, messages.Call):
        await anyio.sleep(response_delay_s)
        owner.send(sender, messages.CallReply(message.request, 0, status=200))

    async def run_call():
      call = messages.Call("r", "leaf", "/", b"{}", budget_s=5.0, priority=1)
      outcomes.append(await caller.call("n0", call))

    caller = peers.PeerNetwork(
      peers.FrameCodec("fleet", "secret", "n2"), caller_address, ignore
    )
    owner = peers.PeerNetwork(
      peers.FrameCodec("fleet", "secret", "n0"), owner_address, respond
    )
    async with anyio.create_task_group() as tasks:
      tasks.start_soon(caller.run, tasks)
      tasks.start_soon(owner.run, tasks)
      await anyio.sleep(0.05)
      caller.connect("n0", owner_address)
      owner.connect("n2", caller_address)
      await anyio.sleep(0.3)
      tasks.start_soon(run_call)
      await anyio.sleep(0.05)
      caller.disconnect("n0")
      with anyio.fail_after(3.0):
        while not outcomes:
          await anyio.sleep(0.01)
      tasks.cancel_scope.cancel()
    return outcomes[0]

  async def test_response_on_its_way_arrives(self):
    outcome = await self.call_and_disconnect(response_delay_s=0.1)
    self.assertTrue(outcome.is_ok(), outcome)

  async def test_call_without_a_response_ends_soon(self):
    outcome = await self.call_and_disconnect(response_delay_s=60.0)
    self.assertTrue(outcome.is_error())
    self.assertIsInstance(outcome.error, exceptions.ConnectionLostError)


if __name__ == "__main__":
  unittest.main()
