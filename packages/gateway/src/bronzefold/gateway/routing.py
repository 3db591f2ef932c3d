"""Choice of the route of a request, and of the service within it."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import operator
import random

import attrs

from bronzefold.gateway import model


class RouteTable:
  """The routes of one configuration, by host and path prefix."""

  def __init__(self, configuration: model.Configuration) -> None:
    """Creates a table of a configuration's routes."""
    get_host = operator.attrgetter("host")
    sorted_routes = sorted(configuration.routes, key=get_host)
    self._routes_by_host = {
      host: sorted(routes, key=lambda route: -len(route.prefix))
      for host, routes in itertools.groupby(sorted_routes, get_host)
    }

  def find(self, host: str, path: str) -> model.Route | None:
    """Returns the host's route with the longest prefix of the path."""
    routes = self._routes_by_host.get(host, ())
    return next(
      (route for route in routes if path.startswith(route.prefix)), None
    )


@attrs.define
class _Split:
  """The distribution of a route's requests, as far as it has come.

  Attributes:
    weighted_services: The services of the route when a request came last.
    shares: Each service's share of the requests.
    due: When each service gets its next request, in requests.
  """

  weighted_services: tuple[model.WeightedService, ...]
  shares: dict[str, float]
  due: dict[str, float]


class WeightedRoundRobin:
  """Distributes a route's requests over its services by weight.

  Stride scheduling: even a short run of requests is split in the proportion of
  the weights. A route starts anew whenever its shares change, at a random
  point of the sequence, so that each request goes to a service with the
  probability of its share, however often and on however many nodes that is.
  """

  def __init__(self, draw: random.Random | None = None) -> None:
    """Creates a distribution that has seen no route.

    Args:
      draw: Source of the points at which routes start.
    """
    self._draw = draw or random.Random()
    self._splits: dict[str, _Split] = {}

  def choose(self, route: model.Route) -> str:
    """Returns the name of the service for the route's next request."""
    if len(route.weighted_services) == 1:
      return route.weighted_services[0].service
    split = self._get_split(route)
    chosen = min(split.due, key=split.due.__getitem__)
    split.due[chosen] += 1.0 / split.shares[chosen]
    return chosen

  def retain(self, routes: Iterable[model.Route]) -> None:
    """Forgets all routes but those of a configuration."""
    names = {route.name for route in routes}
    self._splits = {
      name: split for name, split in self._splits.items() if name in names
    }

  def _get_split(self, route: model.Route) -> _Split:
    split = self._splits.get(route.name)
    if split and split.weighted_services == route.weighted_services:
      return split
    shares = _compute_shares(route.weighted_services)
    if split and split.shares == shares:
      split.weighted_services = route.weighted_services
      return split
    due = self._start(shares)
    split = _Split(route.weighted_services, shares, due)
    self._splits[route.name] = split
    return split

  def _start(self, shares: dict[str, float]) -> dict[str, float]:
    """Draws a point of the sequence; returns when each service is due."""
    (first,) = self._draw.choices(list(shares), list(shares.values()))
    return {
      service: 0.0 if service == first else self._draw.random() / share
      for service, share in shares.items()
    }


def _compute_shares(
  weighted_services: tuple[model.WeightedService, ...],
) -> dict[str, float]:
  """Returns the share of each service that gets requests."""
  # The sum of the weights themselves may be infinite.
  largest = max(weighted.weight for weighted in weighted_services)
  parts: dict[str, float] = {}
  for weighted in weighted_services:
    part = max(0.0, weighted.weight) / largest
    parts[weighted.service] = parts.get(weighted.service, 0.0) + part
  total = sum(parts.values())
  return {service: part / total for service, part in parts.items() if part}
