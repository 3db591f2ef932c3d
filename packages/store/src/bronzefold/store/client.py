"""Client of the key-value store."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import uuid

import anyio
import attrs
import httpcore

from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.store import dialect as dialects
from bronzefold.store import eras
from bronzefold.store import messages

# A connection may have gone silent while it was idle, so an idle one is not
# reused for long.
_MAX_IDLE_S = 2.0
_MAX_WATCH_DELAY_S = 0.8  # of a response after the wait; 200 times a usual one
_MAX_PAGES = 100

_UNAVAILABLE_STATUSES = frozenset((403, 429))


class StoreClient:
  """Calls the store; a process uses one instance.

  Every method raises ``StoreUnavailableError`` if the store did not respond or
  could not serve the call. A write that fails this way may have taken effect.

  Revisions contain the store's era, see ``eras``.

  Attributes:
    calls: Count of the calls made so far.
    era: Highest era that a response has named; None before the first response.
  """

  def __init__(
    self,
    addresses: Sequence[str],
    timeout_s: float = defaults.STORE_TIMEOUT_S,
    dialect: dialects.Dialect | None = None,
  ) -> None:
    """Creates a client.

    Args:
      addresses: IP:port of the store's servers; after a failed call, the next
        one is used.
      timeout_s: Time limit of a call in seconds, watches excepted.
      dialect: Protocol of the store, ``DefaultDialect`` if None.
    """
    self._addresses = tuple(addresses)
    self._address_index = 0
    self._timeout_s = timeout_s
    self._dialect = dialect or dialects.DefaultDialect()
    self._pool = httpcore.AsyncConnectionPool(
      max_connections=16, keepalive_expiry=_MAX_IDLE_S
    )
    self.calls = 0
    self.era: int | None = None
    self._lease_eras: dict[int, int] = {}

  async def close(self) -> None:
    """Closes all connections."""
    await self._pool.aclose()

  async def get(self, key: str) -> messages.Entry | None:
    """Returns the entry of a key, None if it does not exist.

    Args:
      key: The key.
    """
    response = await self._call(self._dialect.make_get(key))
    if response.status == 404:
      return None
    return _join_entry(self._dialect.read_entry(response.body), response.era)

  async def list_prefix(self, prefix: str) -> messages.Listing:
    """Returns the entries whose keys start with ``prefix``.

    Pages are read one after the other, so the entries may be of different
    revisions. The listing has the revision of the first page, so that a watch
    that starts from it receives every later change.

    Args:
      prefix: Start of the keys.

    Raises:
      StoreError: The listing has too many pages.
    """
    entries: list[messages.Entry] = []
    first: messages.Listing | None = None
    for _ in range(_MAX_PAGES):
      after = entries[-1].key if entries else ""
      call = self._dialect.make_list(prefix, after)
      response = await self._call(call)
      page = _join_listing(
        self._dialect.read_listing(response.body), response.era
      )
      first = first or page
      if page.era != first.era:
        raise exceptions.StoreUnavailableError(
          f"the store was restored while {prefix!r} was listed"
        )
      entries.extend(page.entries)
      if not page.more or not page.entries:
        return attrs.evolve(first, entries=tuple(entries), more=False)
    raise exceptions.StoreError(
      f"prefix {prefix!r} has over {_MAX_PAGES} pages"
    )

  async def put(
    self,
    key: str,
    value: str,
    expected_revision: int,
    lease: int | None = None,
  ) -> int:
    """Writes a key if its revision is the expected one.

    Args:
      key: The key.
      value: The value.
      expected_revision: Expected revision of the key, 0 if it must not exist.
      lease: Number of the lease to attach the key to, None without one.

    Returns:
      The new revision of the key.

    Raises:
      ConflictError: The key has another revision.
      LeaseLapsedError: The lease does not exist.
    """
    await self._check_expected_revision(key, expected_revision)
    self._check_lease(lease, self.era)
    response = await self._call(
      self._dialect.make_put(
        key,
        value,
        eras.get_number(expected_revision),
        lease,
      )
    )
    self._raise_on_conflict(response, key)
    if response.status == dialects.LEASE_GONE_STATUS:
      raise exceptions.LeaseLapsedError(f"lease {lease} does not exist")
    self._check_lease(lease, response.era)
    return eras.join(response.era, self._dialect.read_revision(response.body))

  async def delete(self, key: str, expected_revision: int) -> None:
    """Deletes a key if its revision is the expected one.

    Args:
      key: The key.
      expected_revision: Expected revision of the key.

    Raises:
      ConflictError: The key has another revision or does not exist.
    """
    await self._check_expected_revision(key, expected_revision)
    response = await self._call(
      self._dialect.make_delete(key, eras.get_number(expected_revision))
    )
    self._raise_on_conflict(response, key)

  async def watch(
    self, prefix: str, after: int, wait_s: float
  ) -> messages.Listing:
    """Waits for changes under a prefix.

    Args:
      prefix: Start of the keys.
      after: Revision after which changes are returned.
      wait_s: Longest wait for a first change, in seconds.

    Returns:
      The changes by revision, and the revision up to which they are complete.
      Deleted keys have the value None.

    Raises:
      HistoryGoneError: The store no longer has all changes since ``after``, or
        it was restored since.
    """
    after_number = eras.get_number(after)
    call = self._dialect.make_watch(prefix, after_number, wait_s)
    response = await self._call(call, timeout_s=wait_s + _MAX_WATCH_DELAY_S)
    if response.status == self._dialect.history_gone_status:
      raise exceptions.HistoryGoneError(
        f"no history after revision {after_number} of era "
        f"{eras.get_era(after)}, the store is in era {response.era}"
      )
    if response.era != eras.get_era(after):
      raise exceptions.HistoryGoneError(
        f"revision {after_number} is of era {eras.get_era(after)}, the store "
        f"is in era {response.era}"
      )
    changes = self._dialect.read_changes(response.body)
    return _join_listing(changes, response.era)

  async def create_lease(self, ttl_s: float) -> messages.Lease:
    """Creates a lease.

    Args:
      ttl_s: Time from the last renewal until the lease lapses, in seconds.
    """
    response = await self._call(self._dialect.make_lease(ttl_s))
    lease = self._dialect.read_lease(response.body)
    self._lease_eras[lease.lease] = response.era
    return lease

  async def renew_lease(self, lease: int) -> None:
    """Renews a lease.

    Args:
      lease: Number of the lease.

    Raises:
      LeaseLapsedError: The lease does not exist.
    """
    self._check_lease(lease, self.era)
    response = await self._call(self._dialect.make_renewal(lease))
    if response.status == dialects.LEASE_GONE_STATUS:
      raise exceptions.LeaseLapsedError(f"lease {lease} does not exist")
    self._check_lease(lease, response.era)

  async def revoke_lease(self, lease: int) -> None:
    """Ends a lease; the store deletes the keys attached to it.

    Args:
      lease: Number of the lease.

    Raises:
      LeaseLapsedError: The lease ended when the store was restored.
    """
    self._check_lease(lease, self.era)
    await self._call(self._dialect.make_revocation(lease))

  async def list_vms(self) -> messages.VmList:
    """Returns the list of live and leaving VMs, which may be outdated."""
    response = await self._call(messages.Call("GET", "/v1/vms"))
    return dialects.decode_body(response.body, messages.VmList)

  async def _call(
    self, call: messages.Call, timeout_s: float | None = None
  ) -> messages.Response:
    address = self._addresses[self._address_index % len(self._addresses)]
    self.calls += 1
    operation = f"{call.method} {call.target}"
    headers = {"x-request-id": uuid.uuid4().hex}
    if call.body:
      headers["content-type"] = "application/json"
    try:
      with anyio.fail_after(timeout_s or self._timeout_s):
        response = await self._pool.request(
          call.method,
          f"http://{address}{call.target}",
          headers=headers,
          content=call.body,
        )
    except _TRANSPORT_ERRORS as error:
      self._address_index += 1
      raise exceptions.StoreUnavailableError(
        f"{operation}: {type(error).__name__}"
      ) from error
    if response.status >= 500 or response.status in _UNAVAILABLE_STATUSES:
      self._address_index += 1
      raise exceptions.StoreUnavailableError(
        f"{operation}: status {response.status}"
      )
    if response.status == 400:
      raise exceptions.StoreError(response.content.decode(errors="replace"))
    era = self._read_era(response.headers)
    if self.era is not None and era < self.era:
      raise exceptions.StoreUnavailableError(
        f"{operation}: response of era {era} after one of era {self.era}"
      )
    self.era = era
    return messages.Response(response.status, response.content, era)

  def _check_lease(self, lease: int | None, era: int | None) -> None:
    """Raises ``LeaseLapsedError`` for a lease from before the store's era.

    The store may have given its number to another node since.
    """
    if lease is not None and self._lease_eras.get(lease, era) != era:
      raise exceptions.LeaseLapsedError(
        f"lease {lease} ended with era {self._lease_eras[lease]}"
      )

  async def _check_expected_revision(self, key: str, expected: int) -> None:
    """Raises ``ConflictError`` for a revision from before a restore.

    The store may have given the same revision to another value of the key.
    """
    if not expected or eras.get_era(expected) == self.era:
      return
    current = await self.get(key) or messages.Entry(key, None, 0)
    if eras.get_era(expected) == self.era:
      return
    raise exceptions.ConflictError(
      f"the store was restored since revision {expected} of key {key}",
      current.revision,
      (current.value or "").encode(),
    )

  def _read_era(self, headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the era that a response names; the last one if it names none."""
    name = self._dialect.era_header
    value = next((v for key, v in headers if key.lower() == name), b"")
    return int(value) if value.isdigit() else self.era or 0

  def _raise_on_conflict(self, response: messages.Response, key: str) -> None:
    if response.status != self._dialect.conflict_status:
      return
    current = _join_entry(
      self._dialect.read_conflict(key, response.body), response.era
    )
    raise exceptions.ConflictError(
      f"key {key} has revision {current.revision}",
      current.revision,
      (current.value or "").encode(),
    )


def _join_entry(entry: messages.Entry, era: int) -> messages.Entry:
  """Adds the era to an entry's revision; an absent key keeps revision 0."""
  revision = eras.join(era, entry.revision) if entry.revision else 0
  return attrs.evolve(entry, revision=revision)


def _join_listing(listing: messages.Listing, era: int) -> messages.Listing:
  return attrs.evolve(
    listing,
    revision=eras.join(era, listing.revision),
    entries=tuple(_join_entry(entry, era) for entry in listing.entries),
    era=era,
  )


_TRANSPORT_ERRORS = (
  TimeoutError,
  OSError,
  httpcore.NetworkError,
  httpcore.TimeoutException,
  httpcore.ProtocolError,
  httpcore.ConnectionNotAvailable,
)
