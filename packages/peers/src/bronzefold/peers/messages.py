"""Messages between nodes.

A frame holds any number of messages. Each message is encoded with MessagePack
behind the name of its type.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import attrs
import msgspec

from bronzefold.core import burn
from bronzefold.core import exceptions
from bronzefold.core import ranges
from bronzefold.store import messages as platform_messages
from bronzefold.upstreams import executor

_T = TypeVar("_T", bound=type)

_NAMES_BY_TYPE: dict[type, bytes] = {}
_DECODERS_BY_NAME: dict[bytes, msgspec.msgpack.Decoder] = {}
_encoder = msgspec.msgpack.Encoder()


def register_message(name: str) -> Callable[[_T], _T]:
  """Registers a message type under its name on the wire."""

  def decorate(message_type: _T) -> _T:
    encoded = name.encode()
    assert encoded not in _DECODERS_BY_NAME, name
    _NAMES_BY_TYPE[message_type] = encoded
    _DECODERS_BY_NAME[encoded] = msgspec.msgpack.Decoder(message_type)
    return message_type

  return decorate


def encode_message(message: Any) -> tuple[bytes, bytes]:
  """Returns a message's name and its encoded body."""
  return _NAMES_BY_TYPE[type(message)], _encoder.encode(message)


def decode_message(name: bytes, body: bytes) -> Any:
  """Decodes a message.

  Args:
    name: Name of its type.
    body: Its encoded body.

  Returns:
    The message.

  Raises:
    PeerFrameError: The name is unknown or the body does not fit it.
  """
  decoder = _DECODERS_BY_NAME.get(name)
  if decoder is None:
    raise exceptions.PeerFrameError(f"unknown message {name!r}")
  try:
    return decoder.decode(body)
  except msgspec.MsgspecError as error:
    raise exceptions.PeerFrameError(f"{name!r}: {error}") from error


@register_message("heartbeat")
@attrs.frozen
class Heartbeat:
  """Sign of life of a node.

  Attributes:
    node: Name of the node.
    zone: Its availability zone.
    state: "starting", "serving" or "leaving".
    caller_address: IP:port for callers.
    peer_address: IP:port for nodes.
    platform_age_s: Time since the node, or one it heard of, last reached the
      platform; None if never.
    config_revision: Platform revision of the newest change it has applied.
    digest: Digest of the reports and manifests that it knows.
    sent_at: The sender's monotonic time.
    echo: ``sent_at`` of the last heartbeat that the sender got from the
      receiver; None if it got none.
    capacity: Processor cores that the node may use.
    demand: Processor cores that its requests take.
  """

  node: str
  zone: str
  state: str
  caller_address: str
  peer_address: str
  platform_age_s: float | None
  config_revision: int
  digest: int
  sent_at: float
  echo: float | None
  capacity: float = 1.0
  demand: float = 0.0


@register_message("sync_request")
@attrs.frozen
class SyncRequest:
  """Asks a node for what it knows.

  Attributes:
    after: Revision after which changes of the configuration are wanted.
    reports: True to ask for upstream reports and manifests as well.
  """

  after: int
  reports: bool


@register_message("changes")
@attrs.frozen
class Changes:
  """Changes of the configuration, in order of revision.

  Attributes:
    revision: Platform revision up to which they are complete.
    entries: The changed keys.
    is_whole: True when keys that are missing do not exist any more.
  """

  revision: int
  entries: tuple[platform_messages.Entry, ...]
  is_whole: bool = False


@register_message("upstream")
@attrs.frozen
class UpstreamReport:
  """State of an upstream, said by its owner.

  Attributes:
    upstream: Name of the upstream.
    service: Name of its service.
    owner: Name of the node that owns it.
    term: Platform revision at which the owner claimed it.
    number: Counts the owner's reports of this term.
    state: The state.
  """

  upstream: str
  service: str
  owner: str
  term: int
  number: int
  state: executor.UpstreamState


@register_message("manifest")
@attrs.frozen
class ManifestReport:
  """The manifest of a snapshot."""

  service: str
  manifest: ranges.Manifest


@register_message("call")
@attrs.frozen
class Call:
  """Asks an owner to send a request to an upstream.

  Attributes:
    request: Id of the exchange.
    upstream: Name of the upstream.
    path: Path of the URL at the upstream.
    body: Body for the upstream.
    budget_s: Time left until the deadline.
    priority: Requests of a lower number run first.
    key: Idempotency key, empty for a search.
  """

  request: str
  upstream: str
  path: str
  body: bytes
  budget_s: float
  priority: int
  key: str = ""


@register_message("reply")
@attrs.frozen
class CallReply:
  """Outcome of a call.

  Attributes:
    request: Id of the exchange.
    queued: Requests that the upstream's owner holds for it.
    instance: The upstream's instance.
    status: HTTP status of the upstream, 0 when there is an error.
    body: Body of the upstream's reply.
    took_s: Time that the upstream took.
    error: Code of the error, empty when there is none.
    detail: Explanation of the error.
  """

  request: str
  queued: int
  instance: str = ""
  status: int = 0
  body: bytes = b""
  took_s: float = 0.0
  error: str = ""
  detail: str = ""


@register_message("cancel")
@attrs.frozen
class Cancel:
  """Nobody waits for the outcome of a call any longer."""

  request: str


@register_message("suspect")
@attrs.frozen
class Suspicion:
  """A node has stopped sending traffic to a version.

  Attributes:
    service: Name of the service.
    version: The version.
    start: Start of the version's move, as in the document.
    by: End of the version's move, as in the document.
    reason: What was wrong with it.
  """

  service: str
  version: str
  start: float
  by: float
  reason: str


@register_message("samples")
@attrs.frozen
class Samples:
  """What a node observed of a version on one route since its last message.

  Attributes:
    service: Name of the service.
    version: The version.
    route: The route.
    good: Exchanges that ended well and in usual time.
    failed: Exchanges that failed.
    slow: Exchanges that ended well but took unusually long.
  """

  service: str
  version: str
  route: str
  good: int
  failed: int
  slow: int


@register_message("burn")
@attrs.frozen
class BurnCounts:
  """What a node counted for the burn report since its last message.

  Attributes:
    service: Name of the service.
    route: The route.
    counts: The counts.
  """

  service: str
  route: str
  counts: burn.Counts
