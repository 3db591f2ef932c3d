"""Claims of idempotency keys, so that an action runs at most once."""

from __future__ import annotations

import hashlib
import uuid

import attrs
from expression import Error
from expression import Ok
from expression import Result
import msgspec

from bronzefold import store
from bronzefold.core import exceptions
from bronzefold.store import keys

RUNNING = "running"
ENDED = "ended"
UNKNOWN = "unknown"

_SETTLE_ATTEMPTS = 3


@attrs.frozen
class ClaimRecord:
  """Record of one idempotency key on the platform.

  Attributes:
    nonce: Names the attempt that holds the claim.
    digest: Digest of the request's body and route.
    state: "running", "ended" or "unknown".
    claimed_at: Time of the claim, seconds since the Unix epoch.
    status: HTTP status of the outcome, 0 while there is none.
    result: Body of the outcome.
  """

  nonce: str
  digest: str
  state: str
  claimed_at: float
  status: int = 0
  result: str = ""


@attrs.frozen
class Claim:
  """A claim that this attempt holds.

  Attributes:
    key: Key on the platform.
    revision: Revision of the claim.
    record: The record.
  """

  key: str
  revision: int
  record: ClaimRecord


@attrs.frozen
class PriorAttempt:
  """An earlier attempt with the same idempotency key.

  Attributes:
    record: Its record.
  """

  record: ClaimRecord


def compute_digest(route: str, body: bytes) -> str:
  """Computes the digest that tells whether a key is reused."""
  digest = hashlib.blake2b(digest_size=16)
  digest.update(route.encode() + b"\0" + body)
  return digest.hexdigest()


def make_key(service: str, idempotency_key: str) -> str:
  """Returns the platform's key for an idempotency key."""
  hashed = hashlib.blake2b(idempotency_key.encode(), digest_size=16)
  return f"{keys.CLAIM_PREFIX}{service}/{hashed.hexdigest()}"


class Claims:
  """Claims keys on the platform."""

  def __init__(self, client: store.StoreClient) -> None:
    """Creates claims.

    Args:
      client: The platform.
    """
    self._client = client
    self._abandoned: dict[str, str] = {}

  async def claim(
    self, service: str, idempotency_key: str, digest: str, now_wall: float
  ) -> Result[Claim | PriorAttempt, exceptions.BronzefoldError]:
    """Claims a key, which only one attempt ever can.

    Args:
      service: Name of the service.
      idempotency_key: The caller's key.
      digest: Digest of the request.
      now_wall: Time since the Unix epoch.

    Returns:
      The claim, or the earlier attempt that holds it, or an error: the key
      was used with another body, or the platform cannot say who holds it.
    """
    key = make_key(service, idempotency_key)
    nonce = uuid.uuid4().hex
    record = ClaimRecord(nonce, digest, RUNNING, now_wall)
    try:
      revision = await self._client.put(key, _encode(record), 0)
      return Ok(Claim(key, revision, record))
    except exceptions.ConflictError as conflict:
      return self._judge(key, conflict, record)
    except exceptions.StoreError:
      return await self._settle(key, record)

  async def finish(self, claim: Claim, status: int, result: bytes) -> bool:
    """Records the outcome of an action that ran.

    Args:
      claim: The claim.
      status: HTTP status of the outcome.
      result: Body of the outcome.

    Returns:
      True when the platform holds the outcome.
    """
    record = attrs.evolve(
      claim.record,
      state=ENDED,
      status=status,
      result=result.decode(errors="replace"),
    )
    return await self._replace(claim, record)

  async def mark_unknown(self, claim: Claim) -> bool:
    """Records that nobody knows whether the action ran."""
    return await self._replace(claim, attrs.evolve(claim.record, state=UNKNOWN))

  async def release(self, claim: Claim) -> None:
    """Frees the key of an action that certainly did not run."""
    try:
      await self._client.delete(claim.key, claim.revision)
    except exceptions.ConflictError:
      return
    except exceptions.StoreError:
      self._abandoned[claim.key] = claim.record.nonce

  async def release_abandoned(self) -> None:
    """Tries again to free the keys that could not be freed."""
    for key, nonce in list(self._abandoned.items()):
      try:
        entry = await self._client.get(key)
        if entry is not None and _decode(entry.value).nonce == nonce:
          await self._client.delete(key, entry.revision)
      except exceptions.ConflictError:
        continue
      except exceptions.StoreError:
        return
      del self._abandoned[key]

  async def drop_expired(self, now_wall: float, kept_s: float) -> int:
    """Drops the records of actions that ended long ago.

    Records without a known outcome stay until a person deletes them.

    Args:
      now_wall: Time since the Unix epoch.
      kept_s: Age up to which records are kept.

    Returns:
      Count of the records dropped.

    Raises:
      PlatformUnavailableError: The platform does not answer.
    """
    listing = await self._client.list_prefix(keys.CLAIM_PREFIX)
    dropped = 0
    for entry in listing.entries:
      record = _decode(entry.value)
      if record.state != ENDED or now_wall - record.claimed_at <= kept_s:
        continue
      try:
        await self._client.delete(entry.key, entry.revision)
        dropped += 1
      except exceptions.ConflictError:
        continue
    return dropped

  async def read(
    self, service: str, idempotency_key: str
  ) -> ClaimRecord | None:
    """Reads the record of a key.

    Raises:
      PlatformUnavailableError: The platform does not answer.
    """
    entry = await self._client.get(make_key(service, idempotency_key))
    return _decode(entry.value) if entry else None

  async def _settle(
    self, key: str, record: ClaimRecord
  ) -> Result[Claim | PriorAttempt, exceptions.BronzefoldError]:
    """Finds out whether a claim whose reply was lost took effect."""
    for _ in range(_SETTLE_ATTEMPTS):
      try:
        entry = await self._client.get(key)
      except exceptions.StoreError:
        continue
      if entry is None:
        break
      conflict = exceptions.ConflictError(
        key, entry.revision, entry.value.encode()
      )
      return self._judge(key, conflict, record)
    # The write may still take effect later, so its nonce stays abandoned.
    self._abandoned[key] = record.nonce
    return Error(exceptions.ClaimsUnavailableError("the claim is not settled"))

  def _judge(
    self, key: str, conflict: exceptions.ConflictError, record: ClaimRecord
  ) -> Result[Claim | PriorAttempt, exceptions.BronzefoldError]:
    held = _decode(conflict.current_value)
    if held.nonce == record.nonce:
      return Ok(Claim(key, conflict.current_revision, record))
    if held.digest != record.digest:
      return Error(exceptions.KeyReusedError("the key has another body"))
    return Ok(PriorAttempt(held))

  async def _replace(self, claim: Claim, record: ClaimRecord) -> bool:
    assert record.nonce == claim.record.nonce, "at most once"
    for _ in range(_SETTLE_ATTEMPTS):
      try:
        await self._client.put(claim.key, _encode(record), claim.revision)
        return True
      except exceptions.ConflictError as conflict:
        return _decode(conflict.current_value) == record
      except exceptions.StoreError:
        continue
    return False


def _encode(record: ClaimRecord) -> str:
  return msgspec.json.encode(record).decode()


def _decode(value: str | bytes) -> ClaimRecord:
  return msgspec.json.decode(value, type=ClaimRecord)
