"""Messages of the key-value store's protocol."""

from __future__ import annotations

import attrs


@attrs.frozen
class Entry:
  """A key with its value and revision.

  Attributes:
    key: The key.
    value: The value, None if the key was deleted.
    revision: Revision of the store at the key's last change.
  """

  key: str
  value: str | None
  revision: int


@attrs.frozen
class Listing:
  """Entries under a prefix.

  Attributes:
    revision: Revision of the store up to which the entries are current.
    entries: The entries.
    more: True if further pages follow.
    era: Number of times that the store was restored from a copy before it sent
      the entries.
  """

  revision: int
  entries: tuple[Entry, ...]
  more: bool = False
  era: int = 0


@attrs.frozen
class Lease:
  """A lease; the store deletes its attached keys when it lapses.

  Attributes:
    lease: Number of the lease.
    ttl_s: Time from the last renewal until the lease lapses, in seconds.
  """

  lease: int
  ttl_s: float


@attrs.frozen
class VmEntry:
  """An entry of the store's VM list, which may be outdated.

  Attributes:
    vm: Name of the VM.
    address: IP address of the VM.
    zone: Availability zone of the VM.
    state: "live" or "leaving".
  """

  vm: str
  address: str
  zone: str
  state: str


@attrs.frozen
class VmList:
  """The store's VM list, which may be outdated.

  Attributes:
    vms: The listed VMs.
  """

  vms: tuple[VmEntry, ...]


@attrs.frozen
class Call:
  """An HTTP request to a store.

  Attributes:
    method: HTTP method.
    target: Path and query of the URL.
    body: Body, JSON or empty.
  """

  method: str
  target: str
  body: bytes = b""


@attrs.frozen
class Response:
  """An HTTP response of a store.

  Attributes:
    status: HTTP status, below 500.
    body: Body, JSON.
    era: Number of times that the store was restored from a copy.
  """

  status: int
  body: bytes
  era: int = 0
