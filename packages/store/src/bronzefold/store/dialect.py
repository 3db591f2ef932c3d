"""Encodes requests to a key-value store and decodes its responses.

The client decides when to call, how long to wait and what an error means; a
dialect only translates. ``DefaultDialect`` implements the protocol of
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
  """Translates between operations on keys and HTTP messages.

  The ``read_`` methods raise ``StoreUnavailableError`` if the body cannot be
  decoded.

  Attributes:
    conflict_status: HTTP status when the condition of a write does not hold.
    history_gone_status: HTTP status when the store no longer has the changes
      that a watch asks for.
    era_header: Name of the header with the store's era, in lower case.
  """

  conflict_status: int
  history_gone_status: int
  era_header: bytes

  def make_get(self, key: str) -> messages.Call:
    """Returns a call that reads a key."""

  def make_list(self, prefix: str, after_key: str) -> messages.Call:
    """Returns a call that reads the keys of a prefix.

    Args:
      prefix: Start of the keys.
      after_key: Last key of the previous page, empty for the first page.
    """

  def make_watch(
    self, prefix: str, after_revision: int, wait_s: float
  ) -> messages.Call:
    """Returns a call that waits for changes after a revision.

    Args:
      prefix: Start of the keys.
      after_revision: The revision.
      wait_s: Longest wait for a first change, in seconds.
    """

  def make_put(
    self, key: str, value: str, expected_revision: int, lease: int | None
  ) -> messages.Call:
    """Returns a call that writes a key if its revision is as expected.

    Args:
      key: The key.
      value: The value.
      expected_revision: Expected revision of the key, 0 if it must not exist.
      lease: Number of the lease to attach the key to, None without one.
    """

  def make_delete(self, key: str, expected_revision: int) -> messages.Call:
    """Returns a call that deletes a key if its revision is as expected.

    Args:
      key: The key.
      expected_revision: Expected revision of the key.
    """

  def make_lease(self, ttl_s: float) -> messages.Call:
    """Returns a call that creates a lease.

    Args:
      ttl_s: Time from the last renewal until the lease lapses, in seconds.
    """

  def make_renewal(self, lease: int) -> messages.Call:
    """Returns a call that renews a lease."""

  def make_revocation(self, lease: int) -> messages.Call:
    """Returns a call that ends a lease."""

  def read_entry(self, body: bytes) -> messages.Entry:
    """Decodes one entry."""

  def read_listing(self, body: bytes) -> messages.Listing:
    """Decodes a page of entries."""

  def read_changes(self, body: bytes) -> messages.Listing:
    """Decodes the changes that a watch returned."""

  def read_revision(self, body: bytes) -> int:
    """Decodes the new revision of a written key."""

  def read_conflict(self, key: str, body: bytes) -> messages.Entry:
    """Decodes the current entry of a key after a failed condition.

    Args:
      key: The key.
      body: Body of the response with ``conflict_status``.
    """

  def read_lease(self, body: bytes) -> messages.Lease:
    """Decodes a created lease."""


class DefaultDialect:
  """The key-value protocol of ``docs/protocols.md``."""

  conflict_status = 409
  history_gone_status = 410
  era_header = b"x-store-era"

  def make_get(self, key: str) -> messages.Call:
    """Returns a call that reads a key."""
    return messages.Call("GET", _key_path(key))

  def make_list(self, prefix: str, after_key: str) -> messages.Call:
    """Returns a call that reads the keys of a prefix, all in one page."""
    del after_key
    query = parse.urlencode({"prefix": prefix})
    return messages.Call("GET", f"/v1/keys?{query}")

  def make_watch(
    self, prefix: str, after_revision: int, wait_s: float
  ) -> messages.Call:
    """Returns a call that waits for changes after a revision."""
    query = {"prefix": prefix, "after": after_revision, "wait_s": wait_s}
    return messages.Call("GET", "/v1/watch?" + parse.urlencode(query))

  def make_put(
    self, key: str, value: str, expected_revision: int, lease: int | None
  ) -> messages.Call:
    """Returns a call that writes a key if its revision is as expected."""
    query = {"expected": expected_revision}
    if lease is not None:
      query["lease"] = lease
    target = f"{_key_path(key)}?{parse.urlencode(query)}"
    return messages.Call("PUT", target, value.encode())

  def make_delete(self, key: str, expected_revision: int) -> messages.Call:
    """Returns a call that deletes a key if its revision is as expected."""
    query = parse.urlencode({"expected": expected_revision})
    return messages.Call("DELETE", f"{_key_path(key)}?{query}")

  def make_lease(self, ttl_s: float) -> messages.Call:
    """Returns a call that creates a lease."""
    body = msgspec.json.encode({"ttl_s": ttl_s})
    return messages.Call("POST", "/v1/leases", body)

  def make_renewal(self, lease: int) -> messages.Call:
    """Returns a call that renews a lease."""
    return messages.Call("PUT", f"/v1/leases/{lease}")

  def make_revocation(self, lease: int) -> messages.Call:
    """Returns a call that ends a lease."""
    return messages.Call("DELETE", f"/v1/leases/{lease}")

  def read_entry(self, body: bytes) -> messages.Entry:
    """Decodes one entry."""
    return decode_body(body, messages.Entry)

  def read_listing(self, body: bytes) -> messages.Listing:
    """Decodes the entries of a prefix."""
    return decode_body(body, messages.Listing)

  def read_changes(self, body: bytes) -> messages.Listing:
    """Decodes the changes that a watch returned."""
    return decode_body(body, messages.Listing)

  def read_revision(self, body: bytes) -> int:
    """Decodes the new revision of a written key."""
    return decode_body(body, messages.Entry).revision

  def read_conflict(self, key: str, body: bytes) -> messages.Entry:
    """Decodes the current entry of a key after a failed condition."""
    del key
    return decode_body(body, messages.Entry)

  def read_lease(self, body: bytes) -> messages.Lease:
    """Decodes a created lease."""
    return decode_body(body, messages.Lease)


def decode_body(body: bytes, body_type: type[_T]) -> _T:
  """Decodes a JSON body.

  Args:
    body: The body.
    body_type: Type to decode to.

  Returns:
    The decoded body.

  Raises:
    StoreUnavailableError: The body is not of that type.
  """
  try:
    return msgspec.json.decode(body, type=body_type)
  except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
    raise exceptions.StoreUnavailableError(
      f"malformed response: {error}"
    ) from error


def _key_path(key: str) -> str:
  return "/v1/keys/" + parse.quote(key, safe="")
