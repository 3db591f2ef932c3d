"""Data model of the gateway, independent of any wire format."""

from __future__ import annotations

import attrs

from bronzefold.core import fingerprints
from bronzefold.core import memory
from bronzefold.core.clock import Seconds

Header = tuple[bytes, bytes]


@attrs.frozen
class WeightedService:
  """A service of a route, with its share of the route's traffic.

  Attributes:
    service: Name of the service.
    weight: Share of the route's requests, relative to the other services.
  """

  service: str
  weight: float


@attrs.frozen
class Route:
  """A route of the operators' configuration.

  Attributes:
    name: Name of the route.
    host: Host name that it serves.
    prefix: Prefix of the paths that it serves, with a slash at both ends.
    weighted_services: The services of a plain route with their weights.
    shards: The services of a search, one a shard; empty for a plain route.
    is_idempotent: True if a request may run more than once.
    timeout_s: Longest time until a caller gets a response, in seconds.
    latency_objective_s: Latency objective, in seconds.
    max_attempts: Number of upstreams on which one request may run, for each
      shard.
    priority: Priority of the requests; 0 is the most urgent.
    top_k: Number of records that a search returns.
    min_coverage: Least share of the shards in a successful search.
  """

  name: str
  host: str
  prefix: str
  weighted_services: tuple[WeightedService, ...] = ()
  shards: tuple[str, ...] = ()
  is_idempotent: bool = False
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
    max_connections: Number of connections that an upstream accepts from all
      nodes together.
    warm_up_s: How long an upstream is cold after its start, in seconds.
    warm_up_requests_per_s: Requests per second that a cold upstream can handle.
  """

  name: str
  health_path: str = "/"
  max_connections: int = 1
  warm_up_s: Seconds = 0.0
  warm_up_requests_per_s: float = 0.0


@attrs.frozen
class CallerLimits:
  """Limits on requests and connections of callers.

  Attributes:
    max_head_bytes: Largest request head, in bytes.
    max_body_bytes: Largest request body, in bytes.
    head_timeout_s: How long a caller may take to send a request head, in
      seconds.
    idle_timeout_s: How long an idle connection is kept, in seconds.
  """

  max_head_bytes: int = 16 * 1024
  max_body_bytes: int = 256 * 1024
  head_timeout_s: Seconds = 3.0
  idle_timeout_s: Seconds = 15.0


@attrs.frozen
class Configuration:
  """One version of the operators' configuration.

  Attributes:
    version: Version number; a greater one is newer.
    routes: All routes.
    services: All services by name.
    limits: Limits on callers.
  """

  version: int
  routes: tuple[Route, ...] = ()
  services: dict[str, Service] = attrs.field(factory=dict)
  limits: CallerLimits = CallerLimits()


@attrs.frozen
class Instance:
  """An upstream's last registration.

  Attributes:
    id: Id under which the upstream is registered.
    service: Name of its service.
    address: IP:port.
    zone: Its availability zone.
    version: Version of its software.
    slots: Number of requests that it runs concurrently.
    is_draining: True once it has announced that it leaves.
    cold_until: Monotonic time at which it is warm.
    born_ms: Unix time of its start, in milliseconds; 0 if unknown.
  """

  id: str
  service: str
  address: str
  zone: str
  version: str = ""
  slots: int = 1
  is_draining: bool = False
  cold_until: Seconds = 0.0
  born_ms: int = 0


@attrs.frozen
class Request:
  """A caller's request, completely read.

  Attributes:
    id: Id that the caller gave to this request.
    method: HTTP method.
    host: Host name without port, lower case.
    path: Path, as sent.
    target: Path and query, as sent.
    headers: Headers to forward to upstreams, names in lower case.
    head_bytes: Size of the head as sent, in bytes.
    body: The body.
    received_at: Monotonic time at which the head was completely read.
    timeout_s: How long the caller waits from ``received_at``, in seconds; None
      if the request does not state it.
    round_trip_s: Round-trip time of the caller's connection, in seconds; 0 if
      unknown.
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
  timeout_s: Seconds | None
  round_trip_s: Seconds = 0.0

  @property
  def fingerprint(self) -> str:
    """Digest of all that decides what upstreams do with the request."""
    return fingerprints.compute_fingerprint(
      self.method, self.host.encode(), self.target, self.body
    )


@attrs.frozen
class UpstreamResponse:
  """An upstream's response, verified to belong to the request.

  Attributes:
    status: HTTP status.
    headers: Headers to forward to the caller.
    body: The complete body.
    seal: Signature of the response; empty if it has none that is valid.
    did_not_run: True if the upstream states that the request did not run.
    is_misdirected: True if another upstream now has the address.
    rate_limit_per_s: Requests per second that the upstream accepts from all
      nodes together; None if it announces no limit.
    allocation: Memory of the response, counted as long as something refers to
      this.
  """

  status: int
  headers: tuple[Header, ...]
  body: bytes
  seal: bytes = b""
  did_not_run: bool = False
  is_misdirected: bool = False
  rate_limit_per_s: float | None = None
  allocation: memory.Allocation | None = attrs.field(
    default=None, eq=False, repr=False
  )


@attrs.frozen
class Response:
  """The response to a caller.

  Attributes:
    status: HTTP status.
    headers: Headers.
    body: The body.
    seal: Signature of the upstream's response if that is forwarded.
    seals: Signatures of the parts of a search.
    missing_shards: Number of shards missing in a search; None for other
      responses.
    retry_after_s: When a refused caller should retry, in seconds from now.
    outcome: Short name of the outcome, for logs and metrics.
    version: Version of the configuration by which another node handled, or
      refused, the request; 0 if it does not say.
  """

  status: int
  headers: tuple[Header, ...] = ()
  body: bytes = b""
  seal: bytes = b""
  seals: tuple[bytes, ...] = ()
  missing_shards: int | None = None
  retry_after_s: Seconds | None = None
  outcome: str = "served"
  version: int = 0
