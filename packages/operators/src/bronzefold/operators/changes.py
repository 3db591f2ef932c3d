"""Changes of the configuration that operators make."""

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

_ATTEMPTS = 5
_PAUSE_S = 0.5


@attrs.frozen
class Accepted:
  """A change that the platform holds.

  Attributes:
    key: The changed key.
    revision: Revision of the change.
  """

  key: str
  revision: int


@attrs.frozen
class ZoneChange:
  """State of an availability zone for all services.

  Attributes:
    state: "in" or "out".
    operation: Id of the change.
    author: Who made the change.
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
) -> Result[Accepted, exceptions.StoreError]:
  """Writes a value once, also when replies are lost.

  Args:
    client: The platform.
    key: The key.
    value: The value; it contains ``operation``.
    operation: Id of the change, by which a lost reply is settled.
    expected_revision: Revision that the key must have.

  Returns:
    The accepted change, ``ConflictError`` if another change came first, or
    ``PlatformUnavailableError`` if it is not known whether the change was
    accepted.
  """
  lost: exceptions.StoreError | None = None
  for _ in range(_ATTEMPTS):
    try:
      if lost is not None:
        entry = await client.get(key)
        if entry is not None and operation in entry.value:
          return Ok(Accepted(key, entry.revision))
      revision = await client.put(key, value, expected_revision)
      return Ok(Accepted(key, revision))
    except exceptions.ConflictError as conflict:
      if operation in conflict.current_value.decode():
        return Ok(Accepted(key, conflict.current_revision))
      return Error(conflict)
    except exceptions.StoreError as error:
      lost = error
      await anyio.sleep(_PAUSE_S)
  return Error(lost)


async def write_document(
  client: store.StoreClient,
  document: documents.Document,
  author: str,
  now_wall: float,
  expected_revision: int | None,
) -> Result[Accepted, exceptions.StoreError]:
  """Writes a service's document.

  Args:
    client: The platform.
    document: The document.
    author: Who makes the change.
    now_wall: Time since the Unix epoch.
    expected_revision: Revision that the change is based on; None to base it
      on whatever the platform holds now.

  Returns:
    The accepted change, or why there is none.
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
) -> Result[Accepted, exceptions.StoreError]:
  """Takes an availability zone out for all services, or back in.

  Args:
    client: The platform.
    zone: Name of the availability zone.
    state: "in" or "out".
    author: Who makes the change.
    now_wall: Time since the Unix epoch.

  Returns:
    The accepted change, or why there is none.
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
  """Names the change that came first."""
  value = conflict.current_value.decode() or "null"
  try:
    other = msgspec.json.decode(value)
  except msgspec.MsgspecError:
    other = None
  if not isinstance(other, dict):
    return f"revision {conflict.current_revision} came first"
  return (
    f"change {other.get('operation')} by {other.get('author')} at "
    f"{other.get('at')} (revision {conflict.current_revision}) came first"
  )
