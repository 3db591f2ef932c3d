"""What the gateway knows and passes around, free of any wire format."""

from __future__ import annotations

import attrs

from bronzefold.core.clock import Seconds

Header = tuple[bytes, bytes]


@attrs.frozen
class WeightedService:
  """A part of a route's traffic.

  Attributes:
    service: Name of the service.
    weight: Share of the route's requests, relative to the other parts.
  """

  service: str
  weight: float


@attrs.frozen
class Route:
  """A route of the operators' configuration.

  Attributes:
    name: Name of the route.
    host: Host name that it serves.
    prefix: Start of the paths that it serves, with a slash at both ends.
    parts: The services of a plain route with their weights.
    shards: The services of a search; empty for a plain route.
    idempotent: True when a request may run more than once.
    timeout_s: Longest time that a caller is kept waiting.
    objective_s: Latency objective.
    max_attempts: Upstreams to which one request may be sent, for each shard.
    priority: Rank; 0 is the most urgent.
    top_k: Records that a search returns.
    min_coverage: Least share of the shards in a successful search.
  """

  name: str
  host: str
  prefix: str
  weighted_services: tuple[WeightedService, ...] = ()
  shards: tuple[str, ...] = ()
  idempotent: bool = False
  timeout_s: Seconds = 30.0
  latency_objective_s: Seconds = 1.0
  max_attempts: int = 1
  priority: int = 0
  top_k: int = 0
  min_coverage: float = 1.0


@attrs.frozen
class Service:
  """A service of the operators' configuration.

  Attributes:
    name: Name of the service.
    health_path: Path of its health check.
    max_connections: Connections that an upstream accepts from all nodes.
    warm_up_s: How long an upstream is cold after its start.
    warm_up_rate: Requests a second that a cold upstream tolerates.
  """

  name: str
  health_path: str = "/"
  max_connections: int = 1
  warm_up_s: Seconds = 0.0
  warm_up_rate: float = 0.0


@attrs.frozen
class CallerLimits:
  """Bounds on what a caller may send.

  Attributes:
    header_bytes: Largest request head.
    body_bytes: Largest body.
    head_s: How long a caller may take to send a request head.
    idle_s: How long an idle connection is kept.
  """

  max_head_bytes: int = 16 * 1024
  max_body_bytes: int = 256 * 1024
  head_timeout_s: Seconds = 3.0
  idle_timeout_s: Seconds = 15.0


@attrs.frozen
class Configuration:
  """One version of the operators' configuration.

  Attributes:
    version: Its number; greater is newer.
    routes: All routes.
    services: All services by name.
    limits: Bounds on callers.
  """

  version: int
  routes: tuple[Route, ...] = ()
  services: dict[str, Service] = attrs.field(factory=dict)
  limits: CallerLimits = CallerLimits()


@attrs.frozen
class Instance:
  """An upstream as it last registered itself.

  Attributes:
    id: Names this incarnation.
    service: Name of its service.
    address: IP:port.
    zone: Its availability zone.
    version: Version of its software.
    slots: Requests that it runs at once.
    draining: True once it has announced that it leaves.
    cold_until: Monotonic time at which it is warm.
    born_ms: Unix time of its start in ms; 0 if unknown.
  """

  id: str
  service: str
  address: str
  zone: str
  version: str = ""
  slots: int = 1
  draining: bool = False
  cold_until: Seconds = 0.0
  born_ms: int = 0


@attrs.frozen
class Request:
  """A caller's request, read whole.

  Attributes:
    id: The caller's id of this attempt.
    method: HTTP method.
    host: Host name without port, lower case.
    path: Path, as sent.
    target: Path and query, as sent.
    headers: Headers to pass on, names in lower case.
    head_bytes: Size of the head as it was sent.
    body: The body.
    received_at: Monotonic time at which its head had been read.
    budget_s: How long the caller waits, from then on; None if it did not say.
  """

  id: bytes
  method: bytes
  host: str
  path: str
  target: bytes
  headers: tuple[Header, ...]
  head_bytes: int
  body: bytes
  received_at: Seconds
  budget_s: Seconds | None


@attrs.frozen
class UpstreamResponse:
  """An upstream's answer, checked to belong to the request.

  Attributes:
    status: HTTP status.
    headers: Headers to pass on.
    body: The whole body.
    seal: Signature of the answer; empty if it has none.
    not_run: True when the upstream states that the request did not run.
    is_misdirected: True when another upstream has the address now.
  """

  status: int
  headers: tuple[Header, ...]
  body: bytes
  seal: bytes = b""
  not_run: bool = False
  is_misdirected: bool = False


@attrs.frozen
class Response:
  """What a caller receives.

  Attributes:
    status: HTTP status.
    headers: Headers.
    body: The body.
    seal: Signature of an upstream's answer that is passed on.
    seals: Signatures of the parts of a search.
    missing: Shards that a search left out; None for other answers.
    retry_after_s: When a refused caller should come back.
    outcome: Short name of the outcome, for logs and metrics.
  """

  status: int
  headers: tuple[Header, ...] = ()
  body: bytes = b""
  seal: bytes = b""
  seals: tuple[bytes, ...] = ()
  missing: int | None = None
  retry_after_s: Seconds | None = None
  outcome: str = "served"
