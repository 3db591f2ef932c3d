"""The gateway: routes requests and searches to registered upstreams."""

from bronzefold.gateway.fleet import Fleet
from bronzefold.gateway.following import StoreFollower
from bronzefold.gateway.gateway import Gateway
from bronzefold.gateway.model import Answer
from bronzefold.gateway.model import Configuration
from bronzefold.gateway.model import Instance
from bronzefold.gateway.model import Reply
from bronzefold.gateway.model import Request
from bronzefold.gateway.model import Route
from bronzefold.gateway.model import Service
from bronzefold.gateway.replica import Replica
from bronzefold.gateway.settings import GatewaySettings

__all__ = [
  "Answer",
  "Configuration",
  "Fleet",
  "Gateway",
  "GatewaySettings",
  "Instance",
  "Replica",
  "Reply",
  "Request",
  "Route",
  "Service",
  "StoreFollower",
]
