"""Status of a node, as operators see it."""

from __future__ import annotations

import attrs


@attrs.frozen
class UpstreamStatus:
  """An upstream that the node owns.

  Attributes:
    upstream: Name of the upstream.
    service: Name of its service.
    state: "warm", "cold", "draining", "down" or "out".
    limit: Requests that may be in progress.
    in_progress: Requests in progress.
    most_in_progress: Most requests that were in progress at once.
    queued: Requests queued or in progress.
    sent: Requests sent so far.
  """

  upstream: str
  service: str
  state: str
  limit: int
  in_progress: int
  most_in_progress: int
  queued: int
  sent: int


@attrs.frozen
class RolloutStatus:
  """A version's move as the node acts on it.

  Attributes:
    service: Name of the service.
    version: The version.
    state: "moving", "done" or "taken_back".
    share: Share of the traffic.
    reason: Why it was taken back, or what it waits for.
  """

  service: str
  version: str
  state: str
  share: float
  reason: str


@attrs.frozen
class NodeStatus:
  """Status of a node.

  Attributes:
    node: Name of the node.
    zone: Its availability zone.
    state: "starting", "serving" or "leaving".
    contact: Contact with the platform and the other nodes.
    config_revision: Platform revision up to which changes are in force.
    documents: Revision of each service's document in force.
    zones: Revision of each availability zone's record in force.
    leader: Name of the leader, empty when there is none.
    peers: Names of the nodes that are alive.
    searches: Searches in progress.
    actions: Actions in progress.
    refused: Requests refused at the door.
    control_bytes_sent: Bytes sent to other nodes outside of requests.
    platform_calls: Calls made to the platform.
    upstreams: Upstreams that the node owns.
    moves: Moves of versions.
  """

  node: str
  zone: str
  state: str
  contact: str
  config_revision: int
  documents: dict[str, int]
  zones: dict[str, int]
  leader: str
  peers: tuple[str, ...]
  searches: int
  actions: int
  refused: int
  control_bytes_sent: int
  platform_calls: int
  upstreams: tuple[UpstreamStatus, ...]
  moves: tuple[RolloutStatus, ...]
