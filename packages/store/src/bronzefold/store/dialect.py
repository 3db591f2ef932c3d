"""How calls and responses of a key-value store are written.

The client decides when to call, how long to wait and what an error means;
a dialect only translates. ``OwnDialect`` is the protocol of
``docs/protocols.md``.
"""

from __future__ import annotations

from typing import Protocol
from typing import TypeVar
from urllib import parse

import msgspec

from bronzefold.core import exceptions
from bronzefold.store import messages

_T = TypeVar("_T")

LEASE_GONE_STATUS = 404


class Dialect(Protocol):
  """Translates between calls on keys and HTTP."""

  conflict_status: int
  history_gone_status: int

  def make_get(self, key: str) -> messages.Call:
    """Makes a call that reads a key."""

  def make_list(self, prefix: str, after: str) -> messages.Call:
    """Makes a call that reads the keys of a prefix behind ``after``."""

  def make_watch(self, prefix: str, after: int, wait_s: float) -> messages.Call:
    """Makes a call that waits for changes behind a revision."""

  def make_put(
    self, key: str, value: str, expected: int, lease: int | None
  ) -> messages.Call:
    """Makes a conditional write."""

  def make_delete(self, key: str, expected: int) -> messages.Call:
    """Makes a conditional deletion."""

  def make_lease(self, ttl_s: float) -> messages.Call:
    """Makes a call that creates a lease."""

  def make_renewal(self, lease: int) -> messages.Call:
    """Makes a call that renews a lease."""

  def make_revocation(self, lease: int) -> messages.Call:
    """Makes a call that ends a lease."""

  def read_entry(self, body: bytes) -> messages.Entry:
    """Reads one entry."""

  def read_listing(self, body: bytes) -> messages.Listing:
    """Reads a page of entries."""

  def read_changes(self, body: bytes) -> messages.Listing:
    """Reads what a watch returned."""

  def read_revision(self, body: bytes) -> int:
    """Reads the revision of a write."""

  def read_conflict(self, key: str, body: bytes) -> messages.Entry:
    """Reads the present entry of a key whose condition did not hold."""

  def read_lease(self, body: bytes) -> messages.Lease:
    """Reads a created lease."""


class OwnDialect:
  """The product's own key-value protocol."""

  conflict_status = 409
  history_gone_status = 410

  def make_get(self, key: str) -> messages.Call:
    """Makes a call that reads a key."""
    return messages.Call("GET", _key_path(key))

  def make_list(self, prefix: str, after: str) -> messages.Call:
    """Makes a call that reads the keys of a prefix; it has one page."""
    del after
    query = parse.urlencode({"prefix": prefix})
    return messages.Call("GET", f"/v1/keys?{query}")

  def make_watch(self, prefix: str, after: int, wait_s: float) -> messages.Call:
    """Makes a call that waits for changes behind a revision."""
    query = {"prefix": prefix, "after": after, "wait_s": wait_s}
    return messages.Call("GET", "/v1/watch?" + parse.urlencode(query))

  def make_put(
    self, key: str, value: str, expected: int, lease: int | None
  ) -> messages.Call:
    """Makes a conditional write."""
    query = {"expected": expected}
    if lease is not None:
      query["lease"] = lease
    target = f"{_key_path(key)}?{parse.urlencode(query)}"
    return messages.Call("PUT", target, value.encode())

  def make_delete(self, key: str, expected: int) -> messages.Call:
    """Makes a conditional deletion."""
    query = parse.urlencode({"expected": expected})
    return messages.Call("DELETE", f"{_key_path(key)}?{query}")

  def make_lease(self, ttl_s: float) -> messages.Call:
    """Makes a call that creates a lease."""
    body = msgspec.json.encode({"ttl_s": ttl_s})
    return messages.Call("POST", "/v1/leases", body)

  def make_renewal(self, lease: int) -> messages.Call:
    """Makes a call that renews a lease."""
    return messages.Call("PUT", f"/v1/leases/{lease}")

  def make_revocation(self, lease: int) -> messages.Call:
    """Makes a call that ends a lease."""
    return messages.Call("DELETE", f"/v1/leases/{lease}")

  def read_entry(self, body: bytes) -> messages.Entry:
    """Reads one entry."""
    return decode_body(body, messages.Entry)

  def read_listing(self, body: bytes) -> messages.Listing:
    """Reads all entries of a prefix."""
    return decode_body(body, messages.Listing)

  def read_changes(self, body: bytes) -> messages.Listing:
    """Reads what a watch returned."""
    return decode_body(body, messages.Listing)

  def read_revision(self, body: bytes) -> int:
    """Reads the revision of a write."""
    return decode_body(body, messages.Entry).revision

  def read_conflict(self, key: str, body: bytes) -> messages.Entry:
    """Reads the present entry of a key whose condition did not hold."""
    del key
    return decode_body(body, messages.Entry)

  def read_lease(self, body: bytes) -> messages.Lease:
    """Reads a created lease."""
    return decode_body(body, messages.Lease)


def decode_body(body: bytes, kind: type[_T]) -> _T:
  """Decodes a JSON body.

  Args:
    body: The body.
    kind: Type of the result.

  Returns:
    The decoded body.

  Raises:
    PlatformUnavailableError: The body is not of that type.
  """
  try:
    return msgspec.json.decode(body, type=kind)
  except (msgspec.MsgspecError, UnicodeDecodeError) as error:
    raise exceptions.StoreUnavailableError(f"bad reply: {error}") from error


def _key_path(key: str) -> str:
  return "/v1/keys/" + parse.quote(key, safe="")
