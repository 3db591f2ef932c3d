"""Errors in tasks of a node, and messages of peers that no one has meant."""

import unittest

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec

from bronzefold.core import exceptions
from bronzefold.core import supervision
from bronzefold.gateway import relay  # noqa: F401 (registers its messages)
from bronzefold.peers import messages

NAMES = sorted(messages._DECODERS_BY_NAME)


class GuardTest(unittest.TestCase):
  """A task that fails does not take its process with it."""

  def test_failed_assertion_is_logged_and_the_task_runs_again(self):
    """Guards against ending all requests of a process for one invariant."""
    runs = []

    async def fail_once():
      runs.append(None)
      assert len(runs) > 1, "invariant"

    with self.assertLogs("bronzefold.core.supervision", "ERROR") as logged:
      anyio.run(supervision.supervise, fail_once)
    self.assertEqual(len(runs), 2)
    self.assertIn("invariant", logged.output[0])


class OddMessageTest(unittest.TestCase):
  """Bodies of messages that are not of their type."""

  def decode(self, name, body):
    try:
      messages.decode_message(name, body)
    except exceptions.PeerFrameError:
      return

  @given(
    name=strategies.sampled_from(NAMES),
    value=strategies.recursive(
      strategies.none()
      | strategies.booleans()
      | strategies.integers(-(1 << 63), (1 << 64) - 1)
      | strategies.floats()
      | strategies.text(max_size=5)
      | strategies.binary(max_size=5),
      lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
          strategies.text(max_size=5), inner, max_size=4
        )
      ),
      max_leaves=10,
    ),
  )
  @settings(derandomize=True, deadline=None, max_examples=300)
  def test_values_of_other_types(self, name, value):
    self.decode(name, msgspec.msgpack.encode(value))

  @given(
    name=strategies.sampled_from(NAMES), body=strategies.binary(max_size=60)
  )
  @settings(derandomize=True, deadline=None, max_examples=300)
  def test_arbitrary_bytes(self, name, body):
    self.decode(name, body)

  def test_invalid_text_and_deep_nesting(self):
    for body in (b"\xa2\xff\xfe", b"\x81\xa2\xc3\x28\x01", b"\x91" * 100_000):
      for name in NAMES:
        with self.subTest(name=name, body=body[:8]):
          self.decode(name, body)


if __name__ == "__main__":
  unittest.main()
