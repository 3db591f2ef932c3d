"""Validation of an upstream's reply to one search exchange."""

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
class ExpectedReply:
  """What a valid reply contains.

  Attributes:
    exchange_id: Id of the exchange.
    snapshot: Number of the snapshot.
    entries: Manifest entries of the requested shards.
    merge: Name of the merge, which determines the type of the parts.
  """

  exchange_id: str
  snapshot: int
  entries: tuple[ranges.ShardEntry, ...]
  merge: str


CheckedParts = Result[dict[int, merges.Part], exceptions.BronzefoldError]


def check_reply(
  upstream_reply: dispatch.UpstreamReply, expected: ExpectedReply
) -> CheckedParts:
  """Checks a reply, all of whose parts are accepted or rejected together.

  Args:
    upstream_reply: The reply.
    expected: What a valid reply contains.

  Returns:
    The parts by shard, or ``SnapshotGoneError``, ``UpstreamFailedError`` or
    ``MalformedReplyError``.
  """
  if upstream_reply.status == _SNAPSHOT_GONE_STATUS:
    return Error(
      exceptions.SnapshotGoneError("the upstream no longer serves the snapshot")
    )
  if upstream_reply.status != 200:
    return Error(
      exceptions.UpstreamFailedError(f"status {upstream_reply.status}")
    )
  try:
    reply = msgspec.json.decode(upstream_reply.body, type=messages.SearchReply)
    parts = {
      result.shard: merges.decode_part(expected.merge, result.result)
      for result in reply.results
    }
  except (msgspec.MsgspecError, RecursionError) as error:
    return Error(exceptions.MalformedReplyError(str(error)))
  if reply.request != expected.exchange_id:
    return Error(
      exceptions.MalformedReplyError("the reply names another exchange")
    )
  if reply.snapshot != expected.snapshot:
    return Error(
      exceptions.SnapshotGoneError("the reply is from another snapshot")
    )
  if not _covers_expected_shards(reply, expected):
    return Error(
      exceptions.MalformedReplyError(
        "the reply covers other records than requested"
      )
    )
  return Ok(parts)


def check_action_reply(
  upstream_reply: dispatch.UpstreamReply,
) -> Result[dispatch.UpstreamReply, exceptions.BronzefoldError]:
  """Checks the reply to an action, whose body must be JSON.

  Args:
    upstream_reply: The reply.

  Returns:
    The reply, or ``MalformedReplyError``.
  """
  try:
    msgspec.json.decode(upstream_reply.body)
  except (msgspec.MsgspecError, RecursionError) as error:
    return Error(exceptions.MalformedReplyError(str(error)))
  return Ok(upstream_reply)


def _covers_expected_shards(
  reply: messages.SearchReply, expected: ExpectedReply
) -> bool:
  replied_shards = sorted(
    (result.shard, result.low, result.high, result.records)
    for result in reply.results
  )
  expected_shards = sorted(
    (entry.shard, entry.low, entry.high, entry.records)
    for entry in expected.entries
  )
  return replied_shards == expected_shards
