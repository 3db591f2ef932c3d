"""Settings of a gateway node."""

from __future__ import annotations

import attrs

from bronzefold.core.clock import Seconds

ADDRESSES_KEEP_S = 1.0


@attrs.frozen
class GatewaySettings:
  """Settings of one gateway node.

  Attributes:
    node: Name of the node.
    zone: Availability zone of its VM.
    request_address: IP:port for callers' requests.
    readiness_address: IP:port for readiness checks.
    directory_address: IP:port for directory lookups of entry nodes.
    metrics_address: IP:port for metrics.
    peer_address: IP:port for other nodes.
    store_address: IP:port of the store.
    seed_peers: Peer addresses to connect to while no other node is known.
    retry_ratio: Number of extra requests (hedges and retries) allowed at a
      service for each of its requests.
    retry_slack: Number of extra requests allowed in addition, over all nodes.
    retry_window_s: Window in which extra requests are counted, in seconds.
    configuration_limit_s: Time from the store's acknowledgement of a
      configuration until it must be in force, in seconds.
    stop_limit_s: Longest duration of a graceful stop, in seconds.
    addresses_keep_s: How long callers may cache a directory response, in
      seconds.
    is_first_start: True if the whole fleet starts for the first time.
    assumed_nodes: Number of nodes among which limits are divided until the
      actual nodes are known.
    capacity: Number of processor cores that the node may use.
    memory_bytes: Memory that the process may use.
    max_descriptors: Number of descriptors that the process may have open.
  """

  node: str
  zone: str
  request_address: str
  readiness_address: str
  directory_address: str
  metrics_address: str
  peer_address: str
  store_address: str
  seed_peers: tuple[str, ...] = ()
  retry_ratio: float = 0.2
  retry_slack: float = 0.0
  retry_window_s: Seconds = 10.0
  configuration_limit_s: Seconds = 3.0
  stop_limit_s: Seconds = 6.0
  addresses_keep_s: Seconds = ADDRESSES_KEEP_S
  is_first_start: bool = False
  assumed_nodes: int = 8
  capacity: float = 1.0
  memory_bytes: int = 300_000_000
  max_descriptors: int = 4096
