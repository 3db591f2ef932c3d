"""Claims of idempotency keys, which make an action run at most once."""

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
from bronzefold.core.clock import Seconds
from bronzefold.store import keys

RUNNING = "running"
ENDED = "ended"
UNKNOWN = "unknown"

_STORE_ATTEMPTS = 3
# Nodes notice a restore of the store within a renewal of their leases, 1 s, and
# call ``restore_lost`` each second.
_RESTORE_GRACE_S = 2.5
# A restored copy is some seconds old.
_RECENT_CLAIM_S = 60.0


@attrs.frozen
class ClaimRecord:
  """Record of one idempotency key in the store.

  Attributes:
    nonce: Unique id of the attempt that holds the claim.
    digest: Digest of the request's route and body.
    state: "running", "ended", or "unknown" when it is not known whether the
      action ran.
    claimed_at: Time of the claim, seconds since the Unix epoch.
    status: HTTP status of the outcome, 0 until the action has ended.
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
  """A claim that the present attempt holds.

  Attributes:
    key: Key in the store, made from the caller's key.
    revision: Store revision of the claim.
    record: The stored record.
  """

  key: str
  revision: int
  record: ClaimRecord


@attrs.frozen
class PriorAttempt:
  """An earlier attempt with the same idempotency key.

  Attributes:
    record: Record of the earlier attempt.
  """

  record: ClaimRecord


def compute_digest(route: str, body: bytes) -> str:
  """Computes the digest that detects reuse of a key for another request."""
  digest = hashlib.blake2b(digest_size=16)
  digest.update(route.encode() + b"\0" + body)
  return digest.hexdigest()


def make_key(service: str, idempotency_key: str) -> str:
  """Returns the store key for a caller's idempotency key."""
  hashed = hashlib.blake2b(idempotency_key.encode(), digest_size=16)
  return f"{keys.CLAIM_PREFIX}{service}/{hashed.hexdigest()}"


class Claims:
  """Claims idempotency keys in the store."""

  def __init__(self, client: store.StoreClient) -> None:
    """Creates the claims of a node.

    Args:
      client: Client of the store.
    """
    self._client = client
    self._unreleased_nonces: dict[str, str] = {}
    self._recent_records: dict[str, ClaimRecord] = {}
    self._era: int | None = None
    self._new_era: int | None = None
    self._new_era_seen_at: Seconds = 0.0

  async def claim(
    self, service: str, idempotency_key: str, digest: str, now_wall: float
  ) -> Result[Claim | PriorAttempt, exceptions.BronzefoldError]:
    """Claims a key, which at most one attempt at a time can hold.

    Args:
      service: Name of the service.
      idempotency_key: The caller's key.
      digest: Digest of the request's route and body.
      now_wall: Time since the Unix epoch, seconds.

    Returns:
      The claim, or the prior attempt that holds the key, or an error: the key
      was used with another route or body, the store did not confirm the
      claim, or it was restored a short time ago and may lack earlier claims.
    """
    key = make_key(service, idempotency_key)
    nonce = uuid.uuid4().hex
    record = ClaimRecord(nonce, digest, RUNNING, now_wall)
    if self._is_restored():
      return Error(_make_restored_error())
    try:
      revision = await self._client.put(key, _encode(record), 0)
      claim = Claim(key, revision, record)
      if self._is_restored():
        await self.release(claim)
        return Error(_make_restored_error())
      self._remember(key, record)
      return Ok(claim)
    except exceptions.ConflictError as conflict:
      return self._resolve_conflict(key, conflict, record)
    except exceptions.StoreError:
      return await self._resolve_unconfirmed_claim(key, record)

  async def finish(self, claim: Claim, status: int, result: bytes) -> bool:
    """Records the outcome of an action that ran.

    Args:
      claim: The claim.
      status: HTTP status of the outcome.
      result: Body of the outcome.

    Returns:
      True when the store has recorded the outcome.
    """
    record = attrs.evolve(
      claim.record,
      state=ENDED,
      status=status,
      result=result.decode(errors="replace"),
    )
    return await self._update_record(claim, record)

  async def mark_unknown(self, claim: Claim) -> bool:
    """Records that it is unknown whether the action ran."""
    return await self._update_record(
      claim, attrs.evolve(claim.record, state=UNKNOWN)
    )

  async def restore_lost(self, now: Seconds) -> None:
    """Writes claims of this node again after the store was restored.

    Must be called each second from the start of the node, since the first era
    that it sees passes for one without a restore. ``claim`` refuses new claims
    until ``_RESTORE_GRACE_S`` after this node noticed the restore, so that
    other nodes can write theirs.

    Args:
      now: Monotonic time.
    """
    if not self._is_restored():
      return
    era = self._client.era
    if era != self._new_era:
      self._new_era, self._new_era_seen_at = era, now
    for key, record in list(self._recent_records.items()):
      if not await self._update_record(Claim(key, 0, record), record):
        return
    if now - self._new_era_seen_at >= _RESTORE_GRACE_S:
      self._era = era

  async def release(self, claim: Claim) -> None:
    """Deletes the claim of an action that certainly did not run."""
    self._recent_records.pop(claim.key, None)
    try:
      await self._client.delete(claim.key, claim.revision)
    except exceptions.ConflictError:
      return
    except exceptions.StoreError:
      self._unreleased_nonces[claim.key] = claim.record.nonce

  async def retry_releases(self) -> None:
    """Deletes claims whose deletion or whose write was not confirmed."""
    for key, nonce in list(self._unreleased_nonces.items()):
      try:
        entry = await self._client.get(key)
        if entry is not None and _decode(entry.value).nonce == nonce:
          await self._client.delete(key, entry.revision)
      except exceptions.ConflictError:
        continue
      except exceptions.StoreError:
        return
      del self._unreleased_nonces[key]

  async def delete_expired(self, now_wall: float, retention_s: float) -> int:
    """Deletes records of ended actions that are older than the retention.

    Records without a known outcome stay until an operator deletes them.

    Args:
      now_wall: Time since the Unix epoch, seconds.
      retention_s: Age up to which records are kept, counted from the claim.

    Returns:
      Count of the records deleted.

    Raises:
      StoreUnavailableError: The store does not reply.
    """
    listing = await self._client.list_prefix(keys.CLAIM_PREFIX)
    deleted = 0
    for entry in listing.entries:
      record = _decode(entry.value)
      if record.state != ENDED or now_wall - record.claimed_at <= retention_s:
        continue
      try:
        await self._client.delete(entry.key, entry.revision)
        deleted += 1
      except exceptions.ConflictError:
        continue
    return deleted

  async def read(
    self, service: str, idempotency_key: str
  ) -> ClaimRecord | None:
    """Reads the record of a key, None if the key is not claimed.

    Raises:
      StoreUnavailableError: The store does not reply.
    """
    entry = await self._client.get(make_key(service, idempotency_key))
    return _decode(entry.value) if entry else None

  def _is_restored(self) -> bool:
    """True from a restore of the store until lost claims are written again."""
    if self._era is None:
      self._era = self._client.era
    return self._client.era != self._era

  async def _resolve_unconfirmed_claim(
    self, key: str, record: ClaimRecord
  ) -> Result[Claim | PriorAttempt, exceptions.BronzefoldError]:
    """Determines whether a claim that was not confirmed took effect."""
    for _ in range(_STORE_ATTEMPTS):
      try:
        entry = await self._client.get(key)
      except exceptions.StoreError:
        continue
      if entry is None:
        break
      conflict = exceptions.ConflictError(
        key, entry.revision, entry.value.encode()
      )
      return self._resolve_conflict(key, conflict, record)
    # The write may still take effect later, so ``retry_releases`` looks for
    # its nonce, but only until the store next replies to a read of the key.
    self._unreleased_nonces[key] = record.nonce
    return Error(
      exceptions.ClaimsUnavailableError("the store did not confirm the claim")
    )

  def _resolve_conflict(
    self, key: str, conflict: exceptions.ConflictError, record: ClaimRecord
  ) -> Result[Claim | PriorAttempt, exceptions.BronzefoldError]:
    current = _decode(conflict.current_value)
    if current.nonce == record.nonce:
      return Ok(Claim(key, conflict.current_revision, record))
    if current.digest != record.digest:
      return Error(
        exceptions.KeyReusedError("the key was used with another route or body")
      )
    return Ok(PriorAttempt(current))

  async def _update_record(self, claim: Claim, record: ClaimRecord) -> bool:
    # An update with another nonce could let an action run twice.
    assert record.nonce == claim.record.nonce, (
      "the update has another nonce than the claim"
    )
    self._remember(claim.key, record)
    expected = claim.revision
    for _ in range(_STORE_ATTEMPTS):
      try:
        await self._client.put(claim.key, _encode(record), expected)
        return True
      except exceptions.ConflictError as conflict:
        # A restored store may lack the claim or have it in an older state.
        expected = conflict.current_revision
        current = _decode(conflict.current_value) if expected else record
        if expected and current == record:
          return True
        if current.nonce != record.nonce:
          return False
      except exceptions.StoreError:
        continue
    return False

  def _remember(self, key: str, record: ClaimRecord) -> None:
    """Keeps a record for as long as a restore of the store may lose it."""
    self._recent_records.pop(key, None)
    self._recent_records[key] = record
    oldest_at = record.claimed_at - _RECENT_CLAIM_S
    while (first := next(iter(self._recent_records))) != key:
      if self._recent_records[first].claimed_at >= oldest_at:
        break
      del self._recent_records[first]


def _make_restored_error() -> exceptions.ClaimsUnavailableError:
  return exceptions.ClaimsUnavailableError(
    "the store was restored a short time ago and may lack earlier claims"
  )


def _encode(record: ClaimRecord) -> str:
  return msgspec.json.encode(record).decode()


def _decode(value: str | bytes) -> ClaimRecord:
  return msgspec.json.decode(value, type=ClaimRecord)
