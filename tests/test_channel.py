"""Tests how a connection to an upstream parses received bytes."""

import asyncio
import itertools
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.core import memory
from bronzefold.upstreams import channel

_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nbody"
_STRAY_RESPONSE = _RESPONSE.replace(b"mine", b"else")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_PREFIXES = (
  b"",
  b"\x00\xff garbage\r\n\r\n",
  _STRAY_RESPONSE,
  _CONTINUE,
  b"HTTP/1.1 200 OK\r\nX-Id: else\r\n",
)
# A truncated response comes last: bytes after it could not be distinguished
# from the rest of its body.
_SUFFIXES = (*_PREFIXES, _RESPONSE[:-1])


class FakeTransport(asyncio.Transport):
  """Records whether the connection was aborted."""

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


def is_response_to_request(response):
  """Returns True unless the response has the id of another request."""
  return response.get_header(b"x-id") in (None, b"mine")


# A start of a response, and bytes that may follow it without end.
_ENDLESS = {
  "status line": (b"HTTP/1.1 200 ", b"x" * 997),
  "header name": (b"HTTP/1.1 200 OK\r\n", b"x" * 997),
  "header value": (b"HTTP/1.1 200 OK\r\nX-Id: ", b"x" * 997),
  "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Id: mine\r\n" * 80),
  "interim responses": (b"", _CONTINUE * 40),
  "body without length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 997),
  "chunks": (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"3e0\r\n" + b"x" * 0x3E0 + b"\r\n",
  ),
  "chunk extension": (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    b"x" * 997,
  ),
  "trailers": (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    b"X-Id: mine\r\n" * 80,
  ),
  "long length": (
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    b"x" * 997,
  ),
}


async def run_exchange(chunks, is_closed_at_end=True):
  """Feeds bytes to a channel with one request in progress.

  Args:
    chunks: The received bytes, in pieces.
    is_closed_at_end: True if the connection is closed after the last chunk.

  Returns:
    The channel and the future of the response.
  """
  conn = channel.Channel(memory.MemoryBudget(64 << 20))
  transport = FakeTransport()
  conn.connection_made(transport)
  outcome = conn.start(b"GET / HTTP/1.1\r\n\r\n", is_response_to_request)
  for chunk in chunks:
    if not transport.is_aborted:
      conn.data_received(chunk)
  if is_closed_at_end or transport.is_aborted:
    conn.connection_lost(None)
  await asyncio.sleep(0)
  return conn, outcome


class ChannelTest(unittest.TestCase):
  """A channel gives a complete response or an error of a known type.

  It is not reused after unexpected bytes.
  """

  @given(
    prefix=strategies.sampled_from(_PREFIXES),
    suffix=strategies.sampled_from(_SUFFIXES),
    positions=strategies.lists(strategies.integers(0, 200), max_size=4),
  )
  @settings(derandomize=True, deadline=None, max_examples=300)
  def test_unexpected_bytes_give_no_wrong_response_and_no_reuse(
    self, prefix, suffix, positions
  ):
    data = prefix + _RESPONSE + suffix
    bounds = sorted(
      {
        0,
        len(data),
        *(position for position in positions if position < len(data)),
      }
    )
    chunks = [
      data[start:end] for start, end in zip(bounds, bounds[1:], strict=False)
    ]
    conn, outcome = asyncio.run(run_exchange(chunks))
    self.assertTrue(outcome.done())
    if outcome.exception() is None:
      response = outcome.result()
      self.assertEqual((response.status, response.body), (200, b"body"))
      self.assertEqual(response.get_header(b"x-id"), b"mine")
    else:
      self.assertIsInstance(outcome.exception(), exceptions.OutcomeUnknownError)
    if prefix not in (b"", _CONTINUE) or suffix:
      self.assertFalse(conn.reusable)

  @given(data=strategies.binary(max_size=200))
  @settings(derandomize=True, deadline=None, max_examples=200)
  def test_arbitrary_bytes_give_unknown_outcome(self, data):
    _, outcome = asyncio.run(run_exchange([data]))
    self.assertTrue(outcome.done())
    self.assertIsInstance(outcome.exception(), exceptions.OutcomeUnknownError)

  def test_complete_response_leaves_connection_reusable(self):
    conn, outcome = asyncio.run(
      run_exchange([_RESPONSE], is_closed_at_end=False)
    )
    self.assertEqual(outcome.result().body, b"body")
    self.assertTrue(conn.reusable)

  def test_bytes_without_request_close_connection(self):
    conn, _ = asyncio.run(
      run_exchange([_RESPONSE, b"x"], is_closed_at_end=False)
    )
    self.assertTrue(conn.is_closed)

  def test_bytes_without_end_are_read_until_the_deadline(self):
    for name, (start, repeated) in _ENDLESS.items():
      with self.subTest(name=name):
        error, read_bytes = asyncio.run(self.feed_until_closed(start, repeated))
        self.assertIsInstance(error, exceptions.MalformedReplyError)
        is_body = any(word in name for word in ("body", "chunk", "length"))
        most = defaults.MAX_UPSTREAM_BODY_BYTES if is_body else 0
        self.assertLess(read_bytes, most + 2 * memory.MAX_FRAMING_BYTES)

  async def feed_until_closed(self, start, repeated):
    """Feeds bytes until the channel closes, at most 100 MB.

    Returns:
      The error of the exchange, None without one, and the count of bytes.
    """
    conn = channel.Channel(memory.MemoryBudget(64 << 20))
    transport = FakeTransport()
    conn.connection_made(transport)
    outcome = conn.start(b"GET / HTTP/1.1\r\n\r\n", is_response_to_request)
    pieces = itertools.chain(
      [start], itertools.repeat(repeated * 16, 100_000_000 // 16_000)
    )
    read_bytes = 0
    for piece in pieces:
      conn.data_received(piece)
      read_bytes += len(piece)
      if transport.is_aborted:
        break
    return outcome.done() and outcome.exception(), read_bytes

  def test_head_cut_anywhere_gives_no_response(self):
    """The upstream closes in the middle of a head, after an earlier response.

    The earlier response has neither body nor length.
    """
    earlier = b"HTTP/1.1 204 No Content\r\n\r\n"
    head = _RESPONSE.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
    unframed = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n"
    for whole in (head, unframed):
      for size in range(len(whole)):
        with self.subTest(received=whole[:size]):
          outcome = asyncio.run(self.cut_second(earlier, whole[:size]))
          self.assertIsInstance(
            outcome.exception(), exceptions.ConnectionLostError
          )

  async def cut_second(self, earlier, data):
    """Serves a request, and cuts the response to the next one.

    Args:
      earlier: The first response.
      data: What arrives of the second one before the connection closes.

    Returns:
      The future of the second response.
    """
    conn = channel.Channel(memory.MemoryBudget(64 << 20))
    conn.connection_made(FakeTransport())
    conn.start(b"GET / HTTP/1.1\r\n\r\n", is_response_to_request)
    conn.data_received(earlier)
    self.assertTrue(conn.reusable)
    outcome = conn.start(b"GET / HTTP/1.1\r\n\r\n", is_response_to_request)
    if data:
      conn.data_received(data)
    conn.connection_lost(None)
    await asyncio.sleep(0)
    return outcome

  def test_late_copy_of_a_response_is_not_given_to_the_next_request(self):
    """An upstream sends its response again once the connection is in use."""
    for cut in range(len(_STRAY_RESPONSE) + 1):
      with self.subTest(arrived_before_the_next_request=cut):
        conn, outcome = asyncio.run(self.repeat_response(cut))
        self.assertFalse(conn.reusable)
        if cut:  # bytes that belong to no request close the connection
          self.assertIsInstance(
            outcome.exception(), exceptions.ConnectionLostError
          )
        else:
          self.assertEqual(outcome.result().get_header(b"x-id"), b"mine")

  async def repeat_response(self, cut):
    """Serves a request, and repeats its response before that to the next one.

    Args:
      cut: Number of bytes of the copy that arrive before the next request.

    Returns:
      The channel and the future of the second response.
    """
    conn = channel.Channel(memory.MemoryBudget(64 << 20))
    conn.connection_made(FakeTransport())
    first = conn.start(
      b"GET / HTTP/1.1\r\n\r\n",
      lambda response: response.get_header(b"x-id") == b"else",
    )
    conn.data_received(_STRAY_RESPONSE)
    self.assertTrue(first.done())
    if cut:
      conn.data_received(_STRAY_RESPONSE[:cut])
    outcome = conn.start(b"GET / HTTP/1.1\r\n\r\n", is_response_to_request)
    if not outcome.done():
      conn.data_received(_STRAY_RESPONSE[cut:] + _RESPONSE)
    await asyncio.sleep(0)
    return conn, outcome

  def test_response_without_length_ends_with_connection(self):
    without_length = b"HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nbody"
    _, outcome = asyncio.run(run_exchange([without_length]))
    self.assertEqual(outcome.result().body, b"body")


if __name__ == "__main__":
  unittest.main()
