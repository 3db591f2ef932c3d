"""Settings of a node."""

from __future__ import annotations

from collections.abc import Iterable
import pathlib
import re

import attrs

from bronzefold.core import conversion
from bronzefold.core import defaults
from bronzefold.core import exceptions

_IP_PORT = re.compile(r"[0-9.]+:[0-9]{1,5}")


@attrs.frozen
class Settings:
  """Settings of one node.

  Attributes:
    node: Name of the node, unique in the fleet.
    zone: Availability zone of its VM.
    fleet: Name shared by all nodes of a fleet; frames that name another one
      are refused.
    secret: Key that authenticates frames between nodes.
    caller_address: IP:port for callers.
    peer_address: IP:port for other nodes.
    platform_addresses: IP:port of the store.
    seed_peers: Peer addresses to link to while no other node is known.
    lease_ttl_s: Lifetime of the node's lease without renewal.
    lease_renewal_s: Time between renewals.
    heartbeat_s: Time between heartbeats to each peer.
    freshness_limit_s: Age of the last contact with the store, direct or by way
      of a peer, after which a node refuses new requests unless more than half
      of the nodes are alive.
    addresses_keep_s: How long callers may cache the list of node addresses.
    linger_s: How long a leaving node continues to serve new requests.
    stop_limit_s: Longest duration of a graceful stop.
    max_searches: Most searches, and most actions, in progress on this node.
    max_body_bytes: Largest body of a request.
    max_caller_memory_bytes: Most memory that the bodies of all requests of
      callers may take.
    max_caller_connections: Most open connections of callers.
    routing_policy: Name of the policy that chooses among replicas.
    direct: True to send to upstreams regardless of their owners; a baseline
      for measurements.
  """

  node: str
  zone: str
  fleet: str
  secret: str
  caller_address: str
  peer_address: str
  platform_addresses: tuple[str, ...]
  seed_peers: tuple[str, ...] = ()
  lease_ttl_s: float = defaults.LEASE_TTL_S
  lease_renewal_s: float = defaults.LEASE_RENEWAL_PERIOD_S
  heartbeat_s: float = defaults.HEARTBEAT_PERIOD_S
  freshness_limit_s: float = defaults.FRESHNESS_LIMIT_S
  addresses_keep_s: float = defaults.ADDRESSES_KEEP_S
  linger_s: float = defaults.LEAVING_LINGER_S
  stop_limit_s: float = defaults.STOP_LIMIT_S
  max_searches: int = 64
  max_body_bytes: int = defaults.MAX_BODY_BYTES
  max_caller_memory_bytes: int = defaults.MAX_CALLER_MEMORY_BYTES
  max_caller_connections: int = defaults.MAX_CALLER_CONNECTIONS
  routing_policy: str = "two_choices"
  direct: bool = False


def load_settings(path: pathlib.Path) -> Settings:
  """Loads and checks a settings file.

  Args:
    path: File of JSON with comments.

  Returns:
    The settings.

  Raises:
    SettingsError: The file cannot be read or a setting is invalid; the
      explanation lists every problem with file and path.
  """
  try:
    settings = conversion.structure(path.read_text("utf-8"), Settings)
  except (OSError, UnicodeDecodeError, conversion.StructureError) as error:
    raise exceptions.SettingsError(f"{path}: {error}") from error
  problems = [f"{path}: {problem}" for problem in _find_problems(settings)]
  if problems:
    raise exceptions.SettingsError("\n".join(problems))
  return settings


def _find_problems(settings: Settings) -> Iterable[str]:
  addresses = [
    ("caller_address", settings.caller_address),
    ("peer_address", settings.peer_address),
    *(("platform_addresses", a) for a in settings.platform_addresses),
    *(("seed_peers", a) for a in settings.seed_peers),
  ]
  for name, address in addresses:
    if not _IP_PORT.fullmatch(address):
      yield f"$.{name}: {address!r} is not IP:port"
  if not settings.platform_addresses:
    yield "$.platform_addresses: is empty"
  for name in ("node", "zone", "fleet", "secret"):
    if not getattr(settings, name):
      yield f"$.{name}: is empty"
  bounds = {
    "lease_ttl_s": (0.5, 600.0),
    "lease_renewal_s": (0.1, settings.lease_ttl_s / 2),
    "heartbeat_s": (0.05, 10.0),
    "freshness_limit_s": (settings.heartbeat_s, 60.0),
    "addresses_keep_s": (0.1, 3600.0),
    "linger_s": (0.0, 3600.0),
    "stop_limit_s": (settings.linger_s, 7200.0),
    "max_searches": (1, 100_000),
    "max_body_bytes": (1, 64 * 1024 * 1024),
    "max_caller_memory_bytes": (2 * settings.max_body_bytes, 1 << 40),
    "max_caller_connections": (1, 1_000_000),
  }
  for name, (low, high) in bounds.items():
    if not low <= getattr(settings, name) <= high:
      yield f"$.{name}: is not between {low} and {high}"
