"""Tests of frames between nodes."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold import peers
from bronzefold.core import exceptions
from bronzefold.peers import messages


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

  def test_unknown_and_malformed_messages_are_refused(self):
    for name, body in (
      (b"none", b""),
      (b"cancel", b"\xc1"),
      (b"call", b"\x80"),
    ):
      with self.assertRaises(exceptions.PeerFrameError):
        messages.decode_message(name, body)


if __name__ == "__main__":
  unittest.main()
