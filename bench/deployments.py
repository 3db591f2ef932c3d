"""The two deployments that are measured, scaled down to one machine."""

from __future__ import annotations

import attrs

from tests import fleet


@attrs.frozen
class Deployment:
  """The larger service of a deployment.

  Attributes:
    name: Name of the deployment.
    zones: Its availability zones.
    upstreams: Number of upstreams of the service.
    slots: Requests that each upstream runs concurrently.
    connections: Connections that each upstream accepts.
    connect_s: Time to open a connection, in seconds.
  """

  name: str
  zones: tuple[str, ...]
  upstreams: int
  slots: int
  connections: int
  connect_s: float


SIRIKUL = Deployment("sirikul", ("a", "b", "c", "d"), 4, 4, 100, 0.001)
SONAR = Deployment("sonar", ("a", "b", "c"), 6, 2, 35, 0.001)
DEPLOYMENTS = {d.name: d for d in (SIRIKUL, SONAR)}

SHARDS = 200
RECORDS = 4000


def make_upstreams(
  deployment: Deployment, service_s: float, warm_s: float = 1.5
) -> list[dict]:
  """Returns the specifications of the stand-ins.

  Each shard is served by two of them.

  Args:
    deployment: The deployment.
    service_s: Service time of an upstream per round of shards, in seconds.
    warm_s: Duration of a cold start, in seconds.
  """
  shard_sets = deployment.upstreams // 2
  return [
    {
      "name": f"leaf-{index}",
      "zone": deployment.zones[index % len(deployment.zones)],
      "slots": deployment.slots,
      "connect_s": deployment.connect_s,
      "service_s": service_s,
      "warm_s": warm_s,
      "shards": [
        s for s in range(SHARDS) if s % shard_sets == index % shard_sets
      ],
    }
    for index in range(deployment.upstreams)
  ]


def make_fleet(
  deployment: Deployment,
  service_s: float,
  nodes: int = 8,
  settings: dict | None = None,
) -> fleet.Fleet:
  """Creates the fleet of a deployment.

  Args:
    deployment: The deployment.
    service_s: Service time of an upstream per round of shards, in seconds.
    nodes: Number of nodes.
    settings: Settings of the nodes that differ from the defaults.

  Returns:
    The fleet, not started yet.
  """
  return fleet.Fleet(
    nodes=nodes,
    upstreams=make_upstreams(deployment, service_s),
    shards=SHARDS,
    records=RECORDS,
    zones=deployment.zones,
    settings=settings,
    upstream_processes=2,
  )


def make_document(
  running: fleet.Fleet, deployment: Deployment, **limits: object
) -> dict:
  """Creates the document of a deployment's service.

  Args:
    running: The fleet.
    deployment: The deployment.
    **limits: Limits that differ from those of the deployment.

  Returns:
    The document.
  """
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
  """Returns how many exchanges a search needs without hedges and retries."""
  shard_sets = deployment.upstreams // 2
  shards_per_exchange = -(-SHARDS // (deployment.upstreams * deployment.slots))
  return shard_sets * -(-(SHARDS // shard_sets) // shards_per_exchange)
