"""What a connection to an upstream makes of the bytes that arrive."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.core import exceptions
from bronzefold.upstreams import channel

_GOOD = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nbody"
_STRAY = _GOOD.replace(b"mine", b"else")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BEFORE = (
  b"",
  b"\x00\xff garbage\r\n\r\n",
  _STRAY,
  _CONTINUE,
  b"HTTP/1.1 200 OK\r\nX-Id: else\r\n",
)
# An answer that is cut short ends its connection: what followed it there
# could not be told from the rest of its body.
_AFTER = (*_BEFORE, _GOOD[:-1])


class _Transport(asyncio.Transport):
  def __init__(self):
    super().__init__()
    self.is_aborted = False

  def write(self, data):
    del data

  def abort(self):
    self.is_aborted = True

  def is_closing(self):
    return self.is_aborted

  def get_write_buffer_size(self):
    return 0


def is_own(raw):
  """Tells answers by their id."""
  return raw.get_header(b"x-id") in (None, b"mine")


async def exchange(pieces, has_ended=True):
  """Feeds bytes to a channel with a request; returns it and its outcome."""
  opened = channel.Channel()
  transport = _Transport()
  opened.connection_made(transport)
  outcome = opened.start(b"GET / HTTP/1.1\r\n\r\n", is_own)
  for piece in pieces:
    if not transport.is_aborted:
      opened.data_received(piece)
  if has_ended or transport.is_aborted:
    opened.connection_lost(None)
  await asyncio.sleep(0)
  return opened, outcome


class ChannelTest(unittest.TestCase):
  """Whole answers or typed errors, and no reuse after anything odd."""

  @given(
    before=strategies.sampled_from(_BEFORE),
    after=strategies.sampled_from(_AFTER),
    cuts=strategies.lists(strategies.integers(0, 200), max_size=4),
  )
  @settings(derandomize=True, deadline=None, max_examples=300)
  def test_faults_around_an_answer(self, before, after, cuts):
    data = before + _GOOD + after
    places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    pieces = [
      data[start:end] for start, end in zip(places, places[1:], strict=False)
    ]
    opened, outcome = asyncio.run(exchange(pieces))
    self.assertTrue(outcome.done())
    if outcome.exception() is None:
      reply = outcome.result()
      self.assertEqual((reply.status, reply.body), (200, b"body"))
      self.assertEqual(reply.get_header(b"x-id"), b"mine")
    else:
      self.assertIsInstance(outcome.exception(), exceptions.OutcomeUnknownError)
    if before not in (b"", _CONTINUE) or after:
      self.assertFalse(opened.reusable)

  @given(data=strategies.binary(max_size=200))
  @settings(derandomize=True, deadline=None, max_examples=200)
  def test_any_bytes(self, data):
    _, outcome = asyncio.run(exchange([data]))
    self.assertTrue(outcome.done())
    self.assertIsInstance(outcome.exception(), exceptions.OutcomeUnknownError)

  def test_whole_answer_leaves_the_connection_usable(self):
    opened, outcome = asyncio.run(exchange([_GOOD], has_ended=False))
    self.assertEqual(outcome.result().body, b"body")
    self.assertTrue(opened.reusable)

  def test_bytes_without_a_request_end_the_connection(self):
    opened, _ = asyncio.run(exchange([_GOOD, b"x"], has_ended=False))
    self.assertTrue(opened.is_closed)

  def test_answer_that_ends_with_the_connection(self):
    unframed = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nbody"
    _, outcome = asyncio.run(exchange([unframed]))
    self.assertEqual(outcome.result().body, b"body")


if __name__ == "__main__":
  unittest.main()
