"""Messages between nodes.

A frame holds any number of messages. Each message is encoded with MessagePack
and preceded by the name of its type.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import attrs
import msgspec

from bronzefold.core import burn
from bronzefold.core import exceptions
from bronzefold.core import quarantine
from bronzefold.core import ranges
from bronzefold.store import messages as store_messages
from bronzefold.upstreams import executor

_T = TypeVar("_T", bound=type)

_NAMES_BY_TYPE: dict[type, bytes] = {}
_DECODERS_BY_NAME: dict[bytes, msgspec.msgpack.Decoder] = {}
_encoder = msgspec.msgpack.Encoder()


def register_message(name: str) -> Callable[[_T], _T]:
  """Returns a decorator that registers a message type under its wire name."""

  def decorate(message_type: _T) -> _T:
    encoded = name.encode()
    assert encoded not in _DECODERS_BY_NAME, name
    _NAMES_BY_TYPE[message_type] = encoded
    _DECODERS_BY_NAME[encoded] = msgspec.msgpack.Decoder(message_type)
    return message_type

  return decorate


CALL_TYPES: set[type] = set()
REPLY_TYPES: set[type] = set()


def register_call(name: str) -> Callable[[_T], _T]:
  """Registers a message to which another one replies.

  It has the attributes ``request``, the id of the call, and ``budget_s``.
  """

  def decorate(message_type: _T) -> _T:
    CALL_TYPES.add(message_type)
    return register_message(name)(message_type)

  return decorate


def register_reply(name: str) -> Callable[[_T], _T]:
  """Registers a message that replies to a call.

  It has the attributes ``request``, the id of the call, ``error``, the code of
  an error or an empty string, and ``detail``.
  """

  def decorate(message_type: _T) -> _T:
    REPLY_TYPES.add(message_type)
    return register_message(name)(message_type)

  return decorate


def encode_message(message: Any) -> tuple[bytes, bytes]:
  """Encodes a message as the name of its type and its body."""
  return _NAMES_BY_TYPE[type(message)], _encoder.encode(message)


def decode_message(name: bytes, body: bytes) -> Any:
  """Decodes a message.

  Args:
    name: Name of its type.
    body: Its encoded body.

  Returns:
    The message.

  Raises:
    PeerFrameError: The name is unknown, or the body is not of its type.
  """
  decoder = _DECODERS_BY_NAME.get(name)
  if decoder is None:
    raise exceptions.PeerFrameError(f"unknown message type {name!r}")
  try:
    return decoder.decode(body)
  except (
    msgspec.MsgspecError,
    RecursionError,
    TypeError,
    ValueError,
  ) as error:
    raise exceptions.PeerFrameError(
      f"malformed message of type {name!r}: {error}"
    ) from error


@attrs.frozen
class RolloutStatus:
  """Where a gateway node believes that a rollout stands.

  Attributes:
    service: Name of the service.
    revision: Store revision of the order.
    age_s: Seconds since the first node received the order.
    is_shifted: True once all traffic goes to the new version, if that was
      before the usual time.
    regression: Why the version is worse than the others; empty if it is not.
  """

  service: str
  revision: int
  age_s: float
  is_shifted: bool = False
  regression: str = ""


@register_message("heartbeat")
@attrs.frozen
class Heartbeat:
  """State of a node, sent periodically to show that it is alive.

  Attributes:
    node: Name of the node.
    zone: Its availability zone.
    state: "starting", "serving" or "leaving".
    caller_address: IP:port for callers.
    peer_address: IP:port for nodes.
    platform_age_s: Seconds since the store was last reached by the node or one
      of its peers, for a gateway by itself; None if never.
    config_revision: Store revision of the newest change it has applied.
    digest: Digest of the reports and manifests that it has.
    sent_at: The sender's monotonic time.
    echo: ``sent_at`` of the last heartbeat that the sender received from the
      receiver; None if there is none.
    capacity: Processor cores that the node may use.
    demand: Processor cores that its requests use.
    entry_addresses: Caller addresses of the entry nodes that a hub of a gateway
      knows to be alive; empty in heartbeats to nodes that are not its spokes.
    reaches_upstreams: False while the node reaches none of the upstreams.
    rollouts: Rollouts of a gateway that have no final record.
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
  entry_addresses: tuple[str, ...] = ()
  reaches_upstreams: bool = True
  rollouts: tuple[RolloutStatus, ...] = ()


@register_message("sync_request")
@attrs.frozen
class SyncRequest:
  """Requests changes, and on demand reports, that the sender may lack.

  Attributes:
    after: Revision after which configuration changes are requested.
    reports: True to request upstream reports and manifests as well.
  """

  after: int
  reports: bool


@register_message("changes")
@attrs.frozen
class Changes:
  """Changes of the configuration, in order of revision.

  Attributes:
    revision: Store revision up to which they are complete.
    entries: The changed keys.
    is_whole: True when keys without an entry no longer exist. Query nodes
      neither set nor read it.
    is_partial: True while the sender holds entries back, since the store was
      restored. Query nodes neither set nor read it.
  """

  revision: int
  entries: tuple[store_messages.Entry, ...]
  is_whole: bool = False
  is_partial: bool = False


@register_message("upstream")
@attrs.frozen
class UpstreamReport:
  """State of an upstream, reported by its owner.

  Attributes:
    upstream: Name of the upstream.
    service: Name of its service.
    owner: Name of the node that owns it.
    term: Store revision at which the owner claimed it.
    number: Sequence number of the report within the term.
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
  """The manifest of a snapshot.

  Attributes:
    service: Name of the service.
    manifest: The manifest.
  """

  service: str
  manifest: ranges.Manifest


@register_call("call")
@attrs.frozen
class Call:
  """Request to an owner to send a request to its upstream.

  Attributes:
    request: Id of the exchange.
    upstream: Name of the upstream.
    path: Path of the URL at the upstream.
    body: Body for the upstream.
    budget_s: Seconds left until the deadline.
    priority: Requests with a lower number run first.
    key: Idempotency key, empty for a search.
  """

  request: str
  upstream: str
  path: str
  body: bytes
  budget_s: float
  priority: int
  key: str = ""


@register_reply("reply")
@attrs.frozen
class CallReply:
  """Outcome of a call.

  Attributes:
    request: Id of the exchange.
    queued: Requests queued or in progress at the owner for the upstream.
    instance: The upstream's instance.
    status: HTTP status of the upstream, 0 when there is an error.
    body: Body of the upstream's reply.
    took_s: Seconds that the upstream took.
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
  """Cancellation of a call whose outcome is no longer needed.

  Attributes:
    request: Id of the exchange.
  """

  request: str


@register_message("suspect")
@attrs.frozen
class Suspicion:
  """Report that a node has stopped sending traffic to a version.

  Attributes:
    service: Name of the service.
    version: The version.
    start: Start of the version's rollout, as in the document.
    by: End of the version's rollout, as in the document.
    reason: The regression that the node found.
  """

  service: str
  version: str
  start: float
  by: float
  reason: str


@register_message("samples")
@attrs.frozen
class Samples:
  """Counts of a version on one route since the node's previous message.

  Attributes:
    service: Name of the service.
    version: The version.
    route: The route.
    good: Exchanges that succeeded and were not slow.
    failed: Exchanges that failed.
    slow: Exchanges that succeeded but took much longer than the baseline.
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
  """Counts for the burn report; nodes add them to their recorder.

  Attributes:
    service: Name of the service.
    route: The route.
    counts: The counts.
  """

  service: str
  route: str
  counts: burn.RequestCounts


@register_message("rate_limit")
@attrs.frozen
class RateLimitNotice:
  """What an upstream last said about its rate limit, from a gateway node.

  Attributes:
    upstream: Id of the upstream's instance.
    limit_per_s: Requests per second that it accepts from all nodes together;
      None if it announces no limit any more.
    age_s: Seconds since the response that said so.
  """

  upstream: str
  limit_per_s: float | None
  age_s: float


@register_message("token_request")
@attrs.frozen
class TokenRequest:
  """Request for tokens, each of which allows a request to an upstream.

  Attributes:
    notice: The upstream and its rate limit as the sender knows it.
    count: Number of tokens wanted.
    sent_at: The sender's monotonic time.
  """

  notice: RateLimitNotice
  count: int
  sent_at: float


@register_message("token_grant")
@attrs.frozen
class TokenGrant:
  """Response to a request for tokens.

  Attributes:
    notice: The upstream and its rate limit as the sender knows it.
    count: Number of tokens granted.
    wait_s: Seconds until the sender has a token, if none was granted.
    requested_at: ``sent_at`` of the request.
  """

  notice: RateLimitNotice
  count: int
  wait_s: float
  requested_at: float


@register_message("crash_reports")
@attrs.frozen
class CrashReports:
  """Requests under which upstreams crashed.

  Attributes:
    reports: What the sender knows of each.
  """

  reports: tuple[quarantine.CrashReport, ...]
