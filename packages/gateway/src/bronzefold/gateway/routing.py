"""Choice of the route of a request, and of the service within it."""

from __future__ import annotations

import itertools
import operator

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


class WeightedRoundRobin:
  """Distributes a route's requests over its services by weight.

  Smooth weighted round robin: even a short run of requests is split in the
  proportion of the weights.
  """

  def __init__(self) -> None:
    self._credits: dict[str, dict[str, float]] = {}

  def choose(self, route: model.Route) -> str:
    """Returns the name of the service for the route's next request."""
    if len(route.weighted_services) == 1:
      return route.weighted_services[0].service
    credits = self._credits.setdefault(route.name, {})
    for weighted in route.weighted_services:
      credits[weighted.service] = (
        credits.get(weighted.service, 0.0) + weighted.weight
      )
    candidates = [
      weighted.service
      for weighted in route.weighted_services
      if weighted.weight > 0
    ]
    chosen = max(candidates, key=credits.__getitem__)
    credits[chosen] -= sum(
      weighted.weight for weighted in route.weighted_services
    )
    return chosen
