"""Status of a node, as the control address reports it to operators."""

from __future__ import annotations

import attrs


@attrs.frozen
class UpstreamStatus:
  """Status of an upstream that the node owns.

  Attributes:
    upstream: Name of the upstream.
    service: Name of the upstream's service.
    state: "warm", "cold", "draining", "down" or "out".
    limit: Requests that may be in progress at once.
    in_progress: Requests in progress.
    most_in_progress: Highest value that ``in_progress`` has had.
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
  """Status of a version's rollout as the node applies it.

  Attributes:
    service: Name of the service.
    version: Name of the version.
    state: "moving", "done" or "taken_back" (rolled back).
    share: Share of the traffic, 0 to 1.
    reason: Why the version was rolled back, or what the rollout waits for.
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
    zone: Availability zone of the node.
    state: "starting", "serving" or "leaving".
    contact: Contact with the store and the other nodes, a value of
      ``membership.FleetContact``.
    config_revision: Store revision up to which changes are in force.
    documents: Revision of each service's document in force.
    zones: Revision of each availability zone's record in force.
    leader: Name of the leader, empty when there is none.
    peers: Names of the nodes that are alive.
    searches: Searches in progress.
    actions: Actions in progress.
    refused: Requests refused by admission control.
    control_bytes_sent: Bytes sent to other nodes, those of requests excluded.
    platform_calls: Calls made to the store.
    upstreams: Upstreams that the node owns.
    moves: Rollouts of versions.
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
