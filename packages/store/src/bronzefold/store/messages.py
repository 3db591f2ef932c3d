"""Messages of the key-value store."""

from __future__ import annotations

import attrs


@attrs.frozen
class Entry:
  """A key with its value.

  Attributes:
    key: The key.
    value: The value; None when the key was deleted.
    revision: Revision of the store at the key's last change.
  """

  key: str
  value: str | None
  revision: int


@attrs.frozen
class Listing:
  """Entries under a prefix.

  Attributes:
    revision: Revision of the store at which the listing is true.
    entries: The entries.
    more: True when further pages follow.
  """

  revision: int
  entries: tuple[Entry, ...]
  more: bool = False


@attrs.frozen
class Lease:
  """A lease; keys attached to it vanish when it lapses."""

  lease: int
  ttl_s: float


@attrs.frozen
class VmEntry:
  """A VM in the platform's lagging list.

  Attributes:
    vm: Name of the VM.
    address: Its IP number.
    zone: Its availability zone.
    state: "live" or "leaving".
  """

  vm: str
  address: str
  zone: str
  state: str


@attrs.frozen
class VmList:
  """The platform's lagging list of VMs."""

  vms: tuple[VmEntry, ...]


@attrs.frozen
class Call:
  """An HTTP call to a store.

  Attributes:
    method: HTTP method.
    target: Path and query.
    body: Body, JSON or empty.
  """

  method: str
  target: str
  body: bytes = b""


@attrs.frozen
class Response:
  """A store's response.

  Attributes:
    status: HTTP status, below 500.
    body: Body, JSON.
  """

  status: int
  body: bytes
