"""Check that an upstream's reply is the whole answer to one exchange."""

from __future__ import annotations

import attrs
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from bronzefold.core import exceptions
from bronzefold.core import ranges
from bronzefold.node import dispatch
from bronzefold.node import merges
from bronzefold.upstreams import messages

_SNAPSHOT_GONE_STATUS = 409


@attrs.frozen
class Expected:
  """What a reply must answer.

  Attributes:
    exchange: Id of the exchange.
    snapshot: Number of the snapshot.
    entries: The shards asked for, as the snapshot's manifest has them.
    merge: Name of the merge, which gives the shape of the parts.
  """

  exchange: str
  snapshot: int
  entries: tuple[ranges.ShardEntry, ...]
  merge: str


Checked = Result[dict[int, merges.Part], exceptions.BronzefoldError]


def check_reply(
  delivered: dispatch.UpstreamReply, expected: Expected
) -> Checked:
  """Checks a reply; it is used whole or not at all.

  Args:
    delivered: The reply.
    expected: What it must answer.

  Returns:
    The parts by shard, or ``SnapshotGoneError``, ``UpstreamFailedError`` or
    ``MalformedReplyError``.
  """
  if delivered.status == _SNAPSHOT_GONE_STATUS:
    return Error(exceptions.SnapshotGoneError("no longer served"))
  if delivered.status != 200:
    return Error(exceptions.UpstreamFailedError(f"status {delivered.status}"))
  try:
    reply = msgspec.json.decode(delivered.body, type=messages.SearchReply)
    parts = {
      result.shard: merges.decode_part(expected.merge, result.result)
      for result in reply.results
    }
  except msgspec.MsgspecError as error:
    return Error(exceptions.MalformedReplyError(str(error)))
  if reply.request != expected.exchange:
    return Error(exceptions.MalformedReplyError("answers another request"))
  if reply.snapshot != expected.snapshot:
    return Error(exceptions.SnapshotGoneError("answers another snapshot"))
  if not _covers(reply, expected):
    return Error(exceptions.MalformedReplyError("covers other records"))
  return Ok(parts)


def _covers(reply: messages.SearchReply, expected: Expected) -> bool:
  said = sorted(
    (result.shard, result.low, result.high, result.records)
    for result in reply.results
  )
  wanted = sorted(
    (entry.shard, entry.low, entry.high, entry.records)
    for entry in expected.entries
  )
  return said == wanted
