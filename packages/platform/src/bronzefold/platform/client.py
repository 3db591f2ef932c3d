"""Client of the platform's key-value service."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar
from urllib import parse
import uuid

import anyio
import httpcore
import msgspec

from bronzefold.core import defaults
from bronzefold.core import exceptions
from bronzefold.platform import messages

_T = TypeVar("_T")

_WATCH_GRACE_S = 2.0


class PlatformClient:
  """Calls the platform; one instance serves a whole process.

  Every method raises ``PlatformUnavailableError`` when no reply came. A write
  that fails so may have taken effect.

  Attributes:
    calls: Count of the calls made.
  """

  def __init__(
    self,
    addresses: Sequence[str],
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S,
  ) -> None:
    """Creates a client.

    Args:
      addresses: IP:port of the platform's servers, tried in turn.
      timeout_s: Longest duration of a call, watches excepted.
    """
    self._addresses = tuple(addresses)
    self._preferred = 0
    self._timeout_s = timeout_s
    self._pool = httpcore.AsyncConnectionPool(
      max_connections=16, keepalive_expiry=30.0
    )
    self.calls = 0

  async def close(self) -> None:
    """Closes all connections."""
    await self._pool.aclose()

  async def get(self, key: str) -> messages.Entry | None:
    """Returns the entry of a key, None if it does not exist."""
    status, body = await self._call("GET", _key_path(key))
    if status == 404:
      return None
    return _decode(body, messages.Entry)

  async def list_prefix(self, prefix: str) -> messages.Listing:
    """Returns the entries whose keys start with ``prefix``."""
    path = "/v1/keys?" + parse.urlencode({"prefix": prefix})
    _, body = await self._call("GET", path)
    return _decode(body, messages.Listing)

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
      expected_revision: Revision of the key's last change, 0 to create it.
      lease: Lease to which the key is attached.

    Returns:
      The new revision.

    Raises:
      ConflictError: The key has another revision.
      LeaseLapsedError: The lease does not exist.
    """
    query = {"expected": expected_revision}
    if lease is not None:
      query["lease"] = lease
    path = f"{_key_path(key)}?{parse.urlencode(query)}"
    status, body = await self._call("PUT", path, value.encode())
    _raise_on_conflict(status, body, key)
    if status == 404:
      raise exceptions.LeaseLapsedError(f"lease {lease} does not exist")
    return _decode(body, messages.Entry).revision

  async def delete(self, key: str, expected_revision: int) -> None:
    """Deletes a key if its revision is the expected one.

    Args:
      key: The key.
      expected_revision: Revision of the key's last change.

    Raises:
      ConflictError: The key has another revision or does not exist.
    """
    query = parse.urlencode({"expected": expected_revision})
    status, body = await self._call("DELETE", f"{_key_path(key)}?{query}")
    _raise_on_conflict(status, body, key)

  async def watch(
    self, prefix: str, after: int, wait_s: float
  ) -> messages.Listing:
    """Waits for changes under a prefix.

    Args:
      prefix: Start of the keys.
      after: Revision after which changes are wanted.
      wait_s: Longest wait for a first change.

    Returns:
      The changes in order of revision, and the revision up to which they are
      complete. Deleted keys have the value None.
    """
    query = {"prefix": prefix, "after": after, "wait_s": wait_s}
    path = "/v1/watch?" + parse.urlencode(query)
    _, body = await self._call("GET", path, timeout_s=wait_s + _WATCH_GRACE_S)
    return _decode(body, messages.Listing)

  async def create_lease(self, ttl_s: float) -> messages.Lease:
    """Creates a lease that lapses ``ttl_s`` after its last renewal."""
    body = msgspec.json.encode({"ttl_s": ttl_s})
    _, reply = await self._call("POST", "/v1/leases", body)
    return _decode(reply, messages.Lease)

  async def renew_lease(self, lease: int) -> None:
    """Renews a lease.

    Args:
      lease: Number of the lease.

    Raises:
      LeaseLapsedError: The lease does not exist.
    """
    status, _ = await self._call("PUT", f"/v1/leases/{lease}")
    if status == 404:
      raise exceptions.LeaseLapsedError(f"lease {lease} does not exist")

  async def revoke_lease(self, lease: int) -> None:
    """Ends a lease; the keys attached to it vanish."""
    await self._call("DELETE", f"/v1/leases/{lease}")

  async def list_vms(self) -> messages.VmList:
    """Returns the lagging list of live and leaving VMs."""
    _, body = await self._call("GET", "/v1/vms")
    return _decode(body, messages.VmList)

  async def _call(
    self,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float | None = None,
  ) -> tuple[int, bytes]:
    address = self._addresses[self._preferred % len(self._addresses)]
    self.calls += 1
    try:
      with anyio.fail_after(timeout_s or self._timeout_s):
        reply = await self._pool.request(
          method,
          f"http://{address}{path}",
          headers={"x-request-id": uuid.uuid4().hex},
          content=body,
        )
    except _CALL_ERRORS as error:
      self._preferred += 1
      raise exceptions.PlatformUnavailableError(
        f"{method} {path}: {type(error).__name__}"
      ) from error
    if reply.status >= 500:
      self._preferred += 1
      raise exceptions.PlatformUnavailableError(
        f"{method} {path}: status {reply.status}"
      )
    if reply.status == 400:
      raise exceptions.PlatformError(reply.content.decode(errors="replace"))
    return reply.status, reply.content


_CALL_ERRORS = (
  TimeoutError,
  OSError,
  httpcore.NetworkError,
  httpcore.TimeoutException,
  httpcore.ProtocolError,
  httpcore.ConnectionNotAvailable,
)


def _key_path(key: str) -> str:
  return "/v1/keys/" + parse.quote(key, safe="")


def _decode(body: bytes, kind: type[_T]) -> _T:
  try:
    return msgspec.json.decode(body, type=kind)
  except msgspec.MsgspecError as error:
    raise exceptions.PlatformUnavailableError(f"bad reply: {error}") from error


def _raise_on_conflict(status: int, body: bytes, key: str) -> None:
  if status != 409:
    return
  current = _decode(body, messages.Entry)
  raise exceptions.ConflictError(
    f"{key} has revision {current.revision}",
    current.revision,
    (current.value or "").encode(),
  )
