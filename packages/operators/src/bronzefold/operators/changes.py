"""Writes operators' configuration changes to the key-value store."""

from __future__ import annotations

import uuid

import anyio
import attrs
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from bronzefold import store
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.store import keys

_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.5


@attrs.frozen
class AcceptedChange:
  """A change that the store accepted.

  Attributes:
    key: The changed key.
    revision: Revision of the key after the change.
  """

  key: str
  revision: int


@attrs.frozen
class ZoneChange:
  """State of an availability zone for all services.

  Attributes:
    state: "in" or "out".
    operation: Id of the change.
    author: Author of the change.
    at: Time of the change, seconds since the Unix epoch.
  """

  state: str
  operation: str
  author: str
  at: float


async def write_value(
  client: store.StoreClient,
  key: str,
  value: str,
  operation: str,
  expected_revision: int,
) -> Result[AcceptedChange, exceptions.StoreError]:
  """Writes a value once, even if responses of the store are lost.

  After a lost response, the key is read again: if its value contains the id of
  the change, the write was accepted.

  Args:
    client: Client of the store.
    key: The key.
    value: The value; it contains ``operation``.
    operation: Id of the change, which shows after a lost response whether the
      write was accepted.
    expected_revision: Revision that the key must have.

  Returns:
    The accepted change, ``ConflictError`` if another change was written
    first, or the last ``StoreError`` if it is not known whether the change
    was accepted.
  """
  last_error: exceptions.StoreError | None = None
  for _ in range(_MAX_ATTEMPTS):
    try:
      if last_error is not None:
        entry = await client.get(key)
        if entry is not None and operation in entry.value:
          return Ok(AcceptedChange(key, entry.revision))
      revision = await client.put(key, value, expected_revision)
      return Ok(AcceptedChange(key, revision))
    except exceptions.ConflictError as conflict:
      if operation in conflict.current_value.decode():
        return Ok(AcceptedChange(key, conflict.current_revision))
      return Error(conflict)
    except exceptions.StoreError as error:
      last_error = error
      await anyio.sleep(_RETRY_DELAY_S)
  return Error(last_error)


async def write_document(
  client: store.StoreClient,
  document: documents.Document,
  author: str,
  now_wall: float,
  expected_revision: int | None,
) -> Result[AcceptedChange, exceptions.StoreError]:
  """Writes a service's document.

  Args:
    client: Client of the store.
    document: The document.
    author: Author of the change.
    now_wall: Wall time, seconds since the Unix epoch.
    expected_revision: Revision that the change is based on; None for the
      latest revision in the store.

  Returns:
    The accepted change, or the error; see ``write_value``.
  """
  key = keys.DOCUMENT_PREFIX + document.service
  if expected_revision is None:
    entry = await client.get(key)
    expected_revision = entry.revision if entry else 0
  record = documents.DocumentRecord(
    document, uuid.uuid4().hex, author, now_wall
  )
  value = documents.write_document_record(record)
  return await write_value(
    client, key, value, record.operation, expected_revision
  )


async def write_zone(
  client: store.StoreClient,
  zone: str,
  state: str,
  author: str,
  now_wall: float,
) -> Result[AcceptedChange, exceptions.StoreError]:
  """Takes an availability zone out of service for all services, or back in.

  Args:
    client: Client of the store.
    zone: Name of the availability zone.
    state: "in" or "out".
    author: Author of the change.
    now_wall: Wall time, seconds since the Unix epoch.

  Returns:
    The accepted change, or the error; see ``write_value``.
  """
  key = keys.ZONE_PREFIX + zone
  entry = await client.get(key)
  change = ZoneChange(state, uuid.uuid4().hex, author, now_wall)
  value = msgspec.json.encode(change).decode()
  expected_revision = entry.revision if entry else 0
  return await write_value(
    client, key, value, change.operation, expected_revision
  )


def describe_conflict(conflict: exceptions.ConflictError) -> str:
  """Returns a description of the change that was written first."""
  value = conflict.current_value.decode() or "null"
  try:
    winner = msgspec.json.decode(value)
  except msgspec.MsgspecError:
    winner = None
  if not isinstance(winner, dict):
    return f"revision {conflict.current_revision} came first"
  return (
    f"change {winner.get('operation')} by {winner.get('author')} at "
    f"{winner.get('at')} (revision {conflict.current_revision}) came first"
  )
