"""Choice of the route for a request."""

from __future__ import annotations

import itertools
import operator

from bronzefold.gateway import model


class RouteTable:
  """The routes of one configuration, by host and prefix."""

  def __init__(self, configuration: model.Configuration) -> None:
    """Creates a table of a configuration's routes."""
    get_host = operator.attrgetter("host")
    ordered = sorted(configuration.routes, key=get_host)
    self._routes_by_host = {
      host: sorted(routes, key=lambda route: -len(route.prefix))
      for host, routes in itertools.groupby(ordered, get_host)
    }

  def find(self, host: str, path: str) -> model.Route | None:
    """Returns the route with the longest prefix that begins the path."""
    routes = self._routes_by_host.get(host, ())
    return next(
      (route for route in routes if path.startswith(route.prefix)), None
    )


class WeightedRoundRobin:
  """Deals a route's requests to its parts in the proportion of the weights.

  Smooth weighted round robin: the shares hold in every short span.
  """

  def __init__(self) -> None:
    self._credits: dict[str, dict[str, float]] = {}

  def choose(self, route: model.Route) -> str:
    """Returns the service of the route's next request."""
    if len(route.weighted_services) == 1:
      return route.weighted_services[0].service
    credits = self._credits.setdefault(route.name, {})
    for part in route.weighted_services:
      credits[part.service] = credits.get(part.service, 0.0) + part.weight
    weighted = [
      part.service for part in route.weighted_services if part.weight > 0
    ]
    chosen = max(weighted, key=credits.__getitem__)
    credits[chosen] -= sum(part.weight for part in route.weighted_services)
    return chosen
