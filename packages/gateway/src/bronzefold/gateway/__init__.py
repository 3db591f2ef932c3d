"""The gateway: routes requests and searches to registered upstreams."""

from bronzefold.gateway.coordinator import FleetCoordinator
from bronzefold.gateway.follower import StoreFollower
from bronzefold.gateway.gateway import Gateway
from bronzefold.gateway.model import Configuration
from bronzefold.gateway.model import Instance
from bronzefold.gateway.model import Request
from bronzefold.gateway.model import Response
from bronzefold.gateway.model import Route
from bronzefold.gateway.model import Service
from bronzefold.gateway.model import UpstreamResponse
from bronzefold.gateway.replica import Replica
from bronzefold.gateway.settings import GatewaySettings

__all__ = [
  "Response",
  "Configuration",
  "FleetCoordinator",
  "Gateway",
  "GatewaySettings",
  "Instance",
  "Replica",
  "UpstreamResponse",
  "Request",
  "Route",
  "Service",
  "StoreFollower",
]
