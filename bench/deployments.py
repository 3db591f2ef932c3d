"""Shapes of the two deployments, scaled to one machine."""

from __future__ import annotations

import attrs

from tests import fleet


@attrs.frozen
class Deployment:
  """A deployment's larger service.

  Attributes:
    name: Name of the deployment.
    zones: Its availability zones.
    leaves: Upstreams of the service.
    slots: Requests that each runs at once.
    connections: Connections that each accepts.
    connect_s: Time to open a connection.
  """

  name: str
  zones: tuple[str, ...]
  leaves: int
  slots: int
  connections: int
  connect_s: float


SIRIKUL = Deployment("sirikul", ("a", "b", "c", "d"), 4, 4, 100, 0.001)
SONAR = Deployment("sonar", ("a", "b", "c"), 6, 2, 35, 0.001)
DEPLOYMENTS = {d.name: d for d in (SIRIKUL, SONAR)}

SHARDS = 200
RECORDS = 4000


def make_leaves(
  deployment: Deployment, service_s: float, warm_s: float = 1.5
) -> list[dict]:
  """Makes the stand-ins; each shard is held by two of them."""
  parts = deployment.leaves // 2
  return [
    {
      "name": f"leaf-{index}",
      "zone": deployment.zones[index % len(deployment.zones)],
      "slots": deployment.slots,
      "connect_s": deployment.connect_s,
      "service_s": service_s,
      "warm_s": warm_s,
      "shards": [s for s in range(SHARDS) if s % parts == index % parts],
    }
    for index in range(deployment.leaves)
  ]


def make_fleet(
  deployment: Deployment,
  service_s: float,
  nodes: int = 8,
  settings: dict | None = None,
) -> fleet.Fleet:
  """Makes a fleet of a deployment's shape."""
  return fleet.Fleet(
    nodes=nodes,
    leaves=make_leaves(deployment, service_s),
    shards=SHARDS,
    records=RECORDS,
    zones=deployment.zones,
    settings=settings,
    worlds=2,
  )


def make_document(
  running: fleet.Fleet, deployment: Deployment, **limits: object
) -> dict:
  """Makes the document of a deployment's service."""
  document = running.make_document()
  document["limits"] = {
    "slots": deployment.slots,
    "connections": deployment.connections,
    "warm_up_s": 2.0,
    "deadline_ms": 210,
    **limits,
  }
  return document


def count_exchanges(deployment: Deployment) -> int:
  """Counts the first exchanges of one search."""
  parts = deployment.leaves // 2
  size = -(-SHARDS // (deployment.leaves * deployment.slots))
  return parts * -(-(SHARDS // parts) // size)
