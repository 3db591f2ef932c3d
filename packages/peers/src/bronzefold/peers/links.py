"""Links between nodes: ZeroMQ sockets, one sending task for each peer."""

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
from bronzefold.peers import messages

SEED_LINK_PREFIX = "seed/"

_SEND_QUEUE_MESSAGES = 20_000
_HEARTBEAT_MS = 500
_HEARTBEAT_TIMEOUT_MS = 1500
_DIGEST_BYTES = 16
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_REQUEST_TYPES = (messages.Call, messages.CallReply, messages.Cancel)

_logger = logging.getLogger(__name__)

MessageHandler = Callable[[str, Any], Awaitable[None]]


@attrs.frozen
class Frame:
  """The messages that one node sent at once.

  Attributes:
    sender: Name of the node.
    contents: The messages.
  """

  sender: str
  contents: tuple[Any, ...]


class FrameCodec:
  """Encodes frames and proves that they come from a node of the fleet."""

  def __init__(self, fleet: str, secret: str, node: str) -> None:
    """Creates a codec.

    Args:
      fleet: Name of the fleet.
      secret: Key that all nodes of the fleet share.
      node: Name of this node.
    """
    self._fleet = fleet.encode()
    self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()
    self._node = node.encode()

  def encode(self, contents: list[Any]) -> list[bytes]:
    """Returns the parts of a frame."""
    parts = [self._fleet, self._node]
    for message in contents:
      parts.extend(messages.encode_message(message))
    return [self._sign(parts), *parts]

  def decode(self, parts: list[bytes]) -> Frame:
    """Decodes a frame.

    Args:
      parts: Its parts.

    Returns:
      The frame.

    Raises:
      PeerFrameError: The frame is malformed, or its sender does not belong to
        the fleet.
    """
    if len(parts) < 3 or len(parts) % 2 == 0:
      raise exceptions.PeerFrameError(f"a frame of {len(parts)} parts")
    digest, fleet, node, *body = parts
    if fleet != self._fleet:
      raise exceptions.PeerFrameError(f"a frame of fleet {fleet[:64]!r}")
    if not hmac.compare_digest(digest, self._sign(parts[1:])):
      raise exceptions.PeerFrameError("a frame with a wrong signature")
    contents = tuple(
      messages.decode_message(name, encoded)
      for name, encoded in zip(body[::2], body[1::2], strict=True)
    )
    return Frame(node.decode(errors="replace"), contents)

  def _sign(self, parts: list[bytes]) -> bytes:
    digest = hashlib.blake2b(key=self._key, digest_size=_DIGEST_BYTES)
    for part in parts:
      digest.update(len(part).to_bytes(4, "big"))
      digest.update(part)
    return digest.digest()


class PeerLink:
  """Sends messages to one node, many in a frame."""

  def __init__(
    self,
    context: zmq.asyncio.Context,
    codec: FrameCodec,
    address: str,
    on_undelivered: Callable[[Any], None],
  ) -> None:
    """Creates a link; ``run`` sends.

    Args:
      context: The process's ZeroMQ context.
      codec: Encodes frames.
      address: IP:port of the node.
      on_undelivered: Called with each message that certainly was not sent.
    """
    self.address = address
    self._codec = codec
    self._on_undelivered = on_undelivered
    self._outgoing: list[Any] = []
    self._wake = anyio.Event()
    self._scope = anyio.CancelScope()
    self.control_bytes_sent = 0
    self._socket = context.socket(zmq.PUSH)
    # Without a connection a message is refused at once, not kept for later.
    self._socket.setsockopt(zmq.IMMEDIATE, 1)
    self._socket.setsockopt(zmq.LINGER, 0)
    self._socket.setsockopt(zmq.SNDHWM, _SEND_QUEUE_MESSAGES)
    self._socket.setsockopt(zmq.RECONNECT_IVL, 100)
    self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
    self._socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
    self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
    self._socket.connect(f"tcp://{address}")

  def send(self, message: Any) -> None:
    """Queues a message for the next frame."""
    self._outgoing.append(message)
    self._wake.set()

  async def run(self) -> None:
    """Sends frames until ``close`` is called."""
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
      await self._socket.send_multipart(parts, flags=zmq.NOBLOCK)
    except zmq.ZMQError:
      for message in contents:
        self._on_undelivered(message)
      return
    self._count(contents, parts)

  def _count(self, contents: list[Any], parts: list[bytes]) -> None:
    bodies = parts[4::2]
    self.control_bytes_sent += sum(
      len(body)
      for message, body in zip(contents, bodies, strict=True)
      if not isinstance(message, _REQUEST_TYPES)
    )


class PeerNetwork:
  """All links of this node, and the calls that wait for replies."""

  def __init__(
    self, codec: FrameCodec, bind_address: str, handler: MessageHandler
  ) -> None:
    """Creates a network; ``run`` receives.

    Args:
      codec: Encodes and checks frames.
      bind_address: IP:port on which this node receives.
      handler: Called with the sender and each message other than replies.
    """
    self._codec = codec
    self._handler = handler
    self._context = zmq.asyncio.Context()
    self._links: dict[str, PeerLink] = {}
    self._addresses: dict[str, str] = {}
    self._waiting: dict[str, _Waiter] = {}
    self._tasks: abc.TaskGroup | None = None
    self._receiver = self._context.socket(zmq.PULL)
    self._receiver.setsockopt(zmq.LINGER, 0)
    self._receiver.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
    self._receiver.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
    self._receiver.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
    self._receiver.bind(f"tcp://{bind_address}")
    self._control_bytes_closed = 0
    self.refused_frames = 0

  @property
  def control_bytes_sent(self) -> int:
    """Count of the bytes sent that do not belong to a request."""
    open_links = sum(link.control_bytes_sent for link in self._links.values())
    return self._control_bytes_closed + open_links

  async def run(self, tasks: abc.TaskGroup) -> None:
    """Receives frames until cancelled.

    Args:
      tasks: Task group in which links and handlers run.
    """
    self._tasks = tasks
    try:
      while True:
        parts = await self._receiver.recv_multipart()
        self._receive(parts)
    finally:
      for link in self._links.values():
        link.close()
      self._receiver.close()
      self._context.term()

  def connect(self, node: str, address: str) -> None:
    """Makes sure that there is a link to a node.

    Args:
      node: Name of the node.
      address: Its IP:port for nodes.
    """
    if self._addresses.get(node) == address or self._tasks is None:
      return
    self.disconnect(node)
    link = PeerLink(self._context, self._codec, address, self._undelivered)
    self._addresses[node] = address
    self._links[node] = link
    self._tasks.start_soon(link.run)

  def disconnect(self, node: str) -> None:
    """Closes the link to a node; its calls have an unknown outcome."""
    link = self._links.pop(node, None)
    self._addresses.pop(node, None)
    if link is None:
      return
    self._control_bytes_closed += link.control_bytes_sent
    link.close()
    error = exceptions.ConnectionLostError(f"node {node} is gone")
    for waiter in [w for w in self._waiting.values() if w.node == node]:
      waiter.finish(Error(error))

  def update_links(
    self, addresses: Mapping[str, str], seeds: Iterable[str]
  ) -> None:
    """Links to exactly the known nodes, or to the seeds while there is none.

    Args:
      addresses: IP:port of the other nodes by name.
      seeds: IP:port to try instead.
    """
    wanted = dict(addresses) or {
      f"{SEED_LINK_PREFIX}{number}": seed for number, seed in enumerate(seeds)
    }
    for node, address in wanted.items():
      self.connect(node, address)
    for node in self.list_connected():
      if node not in wanted:
        self.disconnect(node)

  def list_connected(self) -> list[str]:
    """Lists the names of the nodes that have a link."""
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
    self, node: str, call: messages.Call
  ) -> Result[messages.CallReply, exceptions.BronzefoldError]:
    """Sends a call and waits for its reply, at most for its budget.

    A cancelled caller cancels the call.

    Args:
      node: Name of the owner.
      call: The call.

    Returns:
      The reply, or an error. It is a ``NotRunError`` only when the call never
      left this process or the owner said so.
    """
    waiter = _Waiter(node)
    self._waiting[call.request] = waiter
    try:
      if not self.send(node, call):
        return Error(exceptions.ConnectFailedError(f"no link to {node}"))
      with anyio.move_on_after(call.budget_s):
        await waiter.done.wait()
      if waiter.outcome is None:
        return Error(exceptions.TimedOutError(f"no reply from node {node}"))
      return waiter.outcome
    finally:
      del self._waiting[call.request]
      if waiter.outcome is None:
        self.send(node, messages.Cancel(call.request))

  def _undelivered(self, message: Any) -> None:
    if isinstance(message, messages.Call):
      waiter = self._waiting.get(message.request)
      if waiter is not None:
        detail = f"node {waiter.node} is not connected"
        waiter.finish(Error(exceptions.ConnectFailedError(detail)))

  def _receive(self, parts: list[bytes]) -> None:
    try:
      frame = self._codec.decode(parts)
    except exceptions.PeerFrameError as error:
      self.refused_frames += 1
      events.FRAME_REFUSED.log(_logger, reason=error.detail)
      return
    for message in frame.contents:
      if isinstance(message, messages.CallReply):
        self._take_reply(frame.sender, message)
      else:
        self._tasks.start_soon(self._handler, frame.sender, message)

  def _take_reply(self, sender: str, reply: messages.CallReply) -> None:
    waiter = self._waiting.get(reply.request)
    # A reply after the call's end, or from another node, answers nobody.
    if waiter is None or waiter.node != sender:
      return
    if reply.error:
      error = exceptions.restore_error(reply.error, reply.detail)
      waiter.finish(Error(error))
    else:
      waiter.finish(Ok(reply))


@attrs.define(eq=False)
class _Waiter:
  node: str
  done: anyio.Event = attrs.field(factory=anyio.Event)
  outcome: Result[messages.CallReply, exceptions.BronzefoldError] | None = None

  def finish(
    self, outcome: Result[messages.CallReply, exceptions.BronzefoldError]
  ) -> None:
    if self.outcome is None:
      self.outcome = outcome
      self.done.set()
