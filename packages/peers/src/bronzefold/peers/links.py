"""Links between nodes: ZeroMQ sockets with one sending task for each peer."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import hmac
import logging
from typing import Any

import anyio
from anyio import abc
import attrs
from expression import Error
from expression import Ok
from expression import Result
import zmq
import zmq.asyncio

from bronzefold.core import events
from bronzefold.core import exceptions
from bronzefold.core import listeners
from bronzefold.peers import messages

SEED_LINK_PREFIX = "seed/"

_SEND_QUEUE_FRAMES = 20_000
_ZMQ_HEARTBEAT_PERIOD_MS = 500
_ZMQ_HEARTBEAT_TIMEOUT_MS = 1500
_DIGEST_BYTES = 16
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# A node that leaves has sent its last replies when its registration ends; they
# arrive on another connection than the news of that.
_LAST_REPLIES_WAIT_S = 0.3
_MAX_LOGGED_SKIPS = 1000
_FIRST_SEND_WAIT_S = 0.25  # a connection takes a few ms

_logger = logging.getLogger(__name__)

MessageHandler = Callable[[str, Any], Awaitable[None]]


@attrs.frozen
class SkippedMessage:
  """A message that cannot be decoded, such as one of a later build.

  Attributes:
    name: Name of its type.
    reason: Why it cannot be decoded.
  """

  name: bytes
  reason: str


@attrs.frozen
class Frame:
  """Messages that a node sent together.

  Attributes:
    sender: Name of the node.
    contents: The messages.
    skipped: Messages that were left out.
  """

  sender: str
  contents: tuple[Any, ...]
  skipped: tuple[SkippedMessage, ...] = ()


class FrameCodec:
  """Encodes and signs frames, and verifies the signatures of received ones."""

  def __init__(self, fleet: str, secret: str, node: str) -> None:
    """Creates a codec.

    Args:
      fleet: Name of the fleet.
      secret: Key that all nodes of the fleet share; it signs frames.
      node: Name of this node.
    """
    self._fleet = fleet.encode()
    self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()
    self._node = node.encode()

  def encode(self, contents: list[Any]) -> list[bytes]:
    """Encodes messages as the parts of a signed frame."""
    parts = [self._fleet, self._node]
    for message in contents:
      parts.extend(messages.encode_message(message))
    return [self._sign(parts), *parts]

  def decode(self, parts: list[bytes]) -> Frame:
    """Decodes a frame; messages that cannot be decoded are left out.

    Nodes of an earlier and a later build run side by side during an upgrade.

    Args:
      parts: The parts of the frame.

    Returns:
      The frame.

    Raises:
      PeerFrameError: The frame is malformed, names another fleet or has a
        wrong signature.
    """
    if len(parts) < 3 or len(parts) % 2 == 0:
      raise exceptions.PeerFrameError(
        f"frame has {len(parts)} parts instead of an odd number of at least 3"
      )
    digest, fleet, node, *body = parts
    if fleet != self._fleet:
      raise exceptions.PeerFrameError(
        f"frame names fleet {fleet[:64]!r}, not the one of this node"
      )
    if not hmac.compare_digest(digest, self._sign(parts[1:])):
      raise exceptions.PeerFrameError("frame has a wrong signature")
    contents: list[Any] = []
    skipped: list[SkippedMessage] = []
    for name, encoded in zip(body[::2], body[1::2], strict=True):
      try:
        contents.append(messages.decode_message(name, encoded))
      except exceptions.PeerFrameError as error:
        skipped.append(SkippedMessage(name, error.detail))
    return Frame(node.decode(errors="replace"), tuple(contents), tuple(skipped))

  def _sign(self, parts: list[bytes]) -> bytes:
    digest = hashlib.blake2b(key=self._key, digest_size=_DIGEST_BYTES)
    for part in parts:
      digest.update(len(part).to_bytes(4, "big"))
      digest.update(part)
    return digest.digest()


class PeerLink:
  """Sends messages to one node, batched into frames.

  Attributes:
    address: IP:port of the node.
    control_bytes_sent: Bytes sent that do not belong to a request.
  """

  def __init__(
    self,
    context: zmq.asyncio.Context,
    codec: FrameCodec,
    address: str,
    on_undelivered: Callable[[Any], None],
  ) -> None:
    """Creates a link; ``run`` sends its messages.

    Args:
      context: The process's ZeroMQ context.
      codec: Encodes frames.
      address: IP:port of the node.
      on_undelivered: Called with each message that was certainly not sent.
    """
    self.address = address
    self._codec = codec
    self._on_undelivered = on_undelivered
    self._outgoing: list[Any] = []
    self._wake = anyio.Event()
    self._scope = anyio.CancelScope()
    self._is_new = True
    self.control_bytes_sent = 0
    self._socket = context.socket(zmq.PUSH)
    # Without a connection a send fails at once instead of being queued.
    self._socket.setsockopt(zmq.IMMEDIATE, 1)
    self._socket.setsockopt(zmq.LINGER, 0)
    self._socket.setsockopt(zmq.SNDHWM, _SEND_QUEUE_FRAMES)
    self._socket.setsockopt(zmq.RECONNECT_IVL, 100)
    self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 250)
    self._socket.setsockopt(zmq.HEARTBEAT_IVL, _ZMQ_HEARTBEAT_PERIOD_MS)
    self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _ZMQ_HEARTBEAT_TIMEOUT_MS)
    self._socket.connect(f"tcp://{address}")

  def send(self, message: Any) -> None:
    """Queues a message for the next frame."""
    self._outgoing.append(message)
    self._wake.set()

  async def run(self) -> None:
    """Sends queued messages until ``close`` is called."""
    with self._scope:
      while True:
        await self._wake.wait()
        self._wake = anyio.Event()
        contents, self._outgoing = self._outgoing, []
        await self._send_frame(contents)

  def close(self) -> None:
    """Closes the link."""
    self._scope.cancel()
    self._socket.close()

  async def _send_frame(self, contents: list[Any]) -> None:
    parts = self._codec.encode(contents)
    try:
      if self._is_new:
        await self._wait_until_connected()
      await self._socket.send_multipart(parts, flags=zmq.NOBLOCK)
    except zmq.ZMQError:
      for message in contents:
        self._on_undelivered(message)
      return
    self._count_control_bytes(contents, parts)

  async def _wait_until_connected(self) -> None:
    """Waits until the first message can be sent, but not for long.

    Later messages fail at once while there is no connection.
    """
    self._is_new = False
    timeout_ms = int(_FIRST_SEND_WAIT_S * 1e3)
    await self._socket.poll(timeout_ms, zmq.POLLOUT)

  def _count_control_bytes(
    self, contents: list[Any], parts: list[bytes]
  ) -> None:
    bodies = parts[4::2]
    self.control_bytes_sent += sum(
      len(body)
      for message, body in zip(contents, bodies, strict=True)
      if not _belongs_to_request(message)
    )


def _belongs_to_request(message: Any) -> bool:
  """True for a message that is not one of the control traffic."""
  request_types = messages.CALL_TYPES | messages.REPLY_TYPES
  return type(message) in request_types or isinstance(message, messages.Cancel)


class PeerNetwork:
  """All links of this node, and its calls that are waiting for replies.

  Attributes:
    refused_frames: Count of the received frames that were refused.
    skipped_messages: Count of the received messages that were skipped.
  """

  def __init__(
    self, codec: FrameCodec, bind_address: str, handler: MessageHandler
  ) -> None:
    """Creates a network; ``run`` receives frames.

    Args:
      codec: Encodes and decodes frames.
      bind_address: IP:port on which this node receives; ``run`` waits while it
        is in use.
      handler: Called with the sender's name and each message that is not a
        reply.
    """
    self._codec = codec
    self._handler = handler
    self._context = zmq.asyncio.Context()
    self._links: dict[str, PeerLink] = {}
    self._addresses: dict[str, str] = {}
    self._pending_calls: dict[str, _PendingCall] = {}
    self._tasks: abc.TaskGroup | None = None
    self._receiver = self._context.socket(zmq.PULL)
    self._receiver.setsockopt(zmq.LINGER, 0)
    self._receiver.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
    self._receiver.setsockopt(zmq.HEARTBEAT_IVL, _ZMQ_HEARTBEAT_PERIOD_MS)
    self._receiver.setsockopt(zmq.HEARTBEAT_TIMEOUT, _ZMQ_HEARTBEAT_TIMEOUT_MS)
    self._bind_address = bind_address
    self._closed_links_control_bytes = 0
    self.refused_frames = 0
    self.skipped_messages = 0
    self._logged_skips: set[tuple[str, bytes]] = set()

  @property
  def control_bytes_sent(self) -> int:
    """Count of the bytes sent that do not belong to a request."""
    open_links_bytes = sum(
      link.control_bytes_sent for link in self._links.values()
    )
    return self._closed_links_control_bytes + open_links_bytes

  async def run(self, tasks: abc.TaskGroup) -> None:
    """Receives frames until cancelled.

    Args:
      tasks: Task group in which links and handlers run.
    """
    self._tasks = tasks
    try:
      await listeners.open_when_free(self._bind_address, self._bind)
      while True:
        parts = await self._receiver.recv_multipart()
        self._handle_frame(parts)
    finally:
      for link in self._links.values():
        link.close()
      self._receiver.close()
      self._context.term()

  def _bind(self, address: str) -> None:
    """Binds the receiver; a ``ZMQError`` is turned into an ``OSError``."""
    try:
      self._receiver.bind(f"tcp://{address}")
    except zmq.ZMQError as error:
      raise OSError(error.errno, error.strerror) from error

  def connect(self, node: str, address: str) -> None:
    """Opens a link to a node unless there is one to the same address.

    Args:
      node: Name of the node.
      address: Its IP:port for nodes.
    """
    if self._addresses.get(node) == address or self._tasks is None:
      return
    self.disconnect(node)
    link = PeerLink(
      self._context, self._codec, address, self._fail_undelivered_call
    )
    self._addresses[node] = address
    self._links[node] = link
    self._tasks.start_soon(link.run)

  def disconnect(self, node: str) -> None:
    """Closes the link to a node.

    Its calls end with an unknown outcome, unless their replies arrive within
    ``_LAST_REPLIES_WAIT_S``.

    Args:
      node: Name of the node.
    """
    link = self._links.pop(node, None)
    self._addresses.pop(node, None)
    if link is None:
      return
    self._closed_links_control_bytes += link.control_bytes_sent
    link.close()
    pending_calls = [c for c in self._pending_calls.values() if c.node == node]
    if pending_calls:
      self._tasks.start_soon(self._fail_calls_later, pending_calls)

  def renew(self, node: str) -> None:
    """Opens a new link to a node that has restarted, in place of the old one.

    The old one may still be waiting to connect again.

    Args:
      node: Name of the node.
    """
    address = self._addresses.get(node)
    if address is not None:
      self.disconnect(node)
      self.connect(node, address)

  async def _fail_calls_later(self, pending_calls: list[_PendingCall]) -> None:
    """Ends calls whose link was closed, if they get no reply."""
    await anyio.sleep(_LAST_REPLIES_WAIT_S)
    for pending_call in pending_calls:
      error = exceptions.ConnectionLostError(
        f"the link to node {pending_call.node} was closed"
      )
      pending_call.finish(Error(error))

  def update_links(
    self, addresses: Mapping[str, str], seeds: Iterable[str]
  ) -> None:
    """Opens links to the known nodes and closes all others.

    Args:
      addresses: IP:port of the other nodes by name.
      seeds: IP:port of nodes to link to while ``addresses`` is empty.
    """
    wanted_links = dict(addresses) or {
      f"{SEED_LINK_PREFIX}{number}": seed for number, seed in enumerate(seeds)
    }
    for node, address in wanted_links.items():
      self.connect(node, address)
    for node in self.list_linked():
      if node not in wanted_links:
        self.disconnect(node)

  def list_linked(self) -> list[str]:
    """Lists the names of all links: nodes, or seeds as ``seed/N``."""
    return list(self._links)

  def send(self, node: str, message: Any) -> bool:
    """Sends a message.

    Args:
      node: Name of the receiver.
      message: The message.

    Returns:
      False when there is no link to the node.
    """
    link = self._links.get(node)
    if link is None:
      return False
    link.send(message)
    return True

  async def call(
    self, node: str, call: Any
  ) -> Result[Any, exceptions.BronzefoldError]:
    """Sends a call and waits for its reply, at most for its time budget.

    If the waiting task is cancelled, the call is cancelled at the owner.

    Args:
      node: Name of the owner.
      call: The call, of a type in ``messages.CALL_TYPES``.

    Returns:
      The reply, or an error. It is a ``NotRunError`` only when the call never
      left this process or the owner reported that it did not run.
    """
    pending_call = _PendingCall(node)
    self._pending_calls[call.request] = pending_call
    try:
      if not self.send(node, call):
        return Error(exceptions.ConnectFailedError(f"no link to {node}"))
      with anyio.move_on_after(call.budget_s):
        await pending_call.done.wait()
      if pending_call.outcome is None:
        return Error(exceptions.TimedOutError(f"no reply from node {node}"))
      return pending_call.outcome
    finally:
      del self._pending_calls[call.request]
      if pending_call.outcome is None:
        self.send(node, messages.Cancel(call.request))

  def _fail_undelivered_call(self, message: Any) -> None:
    if type(message) in messages.CALL_TYPES:
      pending_call = self._pending_calls.get(message.request)
      if pending_call is not None:
        detail = f"node {pending_call.node} is not connected"
        pending_call.finish(Error(exceptions.ConnectFailedError(detail)))

  def _handle_frame(self, parts: list[bytes]) -> None:
    try:
      frame = self._codec.decode(parts)
    except exceptions.PeerFrameError as error:
      self.refused_frames += 1
      events.FRAME_REFUSED.log(_logger, reason=error.detail)
      return
    for message in frame.skipped:
      self._record_skipped(frame.sender, message)
    for message in frame.contents:
      if type(message) in messages.REPLY_TYPES:
        self._deliver_reply(frame.sender, message)
      else:
        self._tasks.start_soon(self._handler, frame.sender, message)

  def _record_skipped(self, sender: str, message: SkippedMessage) -> None:
    """Counts a skipped message; logs the first of each node and type."""
    self.skipped_messages += 1
    key = (sender, message.name)
    if (
      key in self._logged_skips or len(self._logged_skips) >= _MAX_LOGGED_SKIPS
    ):
      return
    self._logged_skips.add(key)
    events.MESSAGE_SKIPPED.log(_logger, sender=sender, reason=message.reason)

  def _deliver_reply(self, sender: str, reply: Any) -> None:
    pending_call = self._pending_calls.get(reply.request)
    # A reply after the end of its call or from another node is dropped.
    if pending_call is None or pending_call.node != sender:
      return
    if reply.error:
      error = exceptions.restore_error(reply.error, reply.detail)
      pending_call.finish(Error(error))
    else:
      pending_call.finish(Ok(reply))


@attrs.define(eq=False)
class _PendingCall:
  """A call that is waiting for its reply.

  Attributes:
    node: Name of the node that was called.
    done: Set when there is an outcome.
    outcome: The reply or an error.
  """

  node: str
  done: anyio.Event = attrs.field(factory=anyio.Event)
  outcome: Result[Any, exceptions.BronzefoldError] | None = None

  def finish(self, outcome: Result[Any, exceptions.BronzefoldError]) -> None:
    """Sets the outcome, unless there is one already."""
    if self.outcome is None:
      self.outcome = outcome
      self.done.set()
