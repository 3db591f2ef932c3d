"""HTTP interface for callers."""

from bronzefold.callers.application import NodeApi
from bronzefold.callers.application import make_application
from bronzefold.callers.messages import ActionReply
from bronzefold.callers.messages import Address
from bronzefold.callers.messages import AddressesReply
from bronzefold.callers.messages import CoverageBody
from bronzefold.callers.messages import ErrorReply
from bronzefold.callers.messages import SearchBody
from bronzefold.callers.messages import SearchReply
from bronzefold.callers.server import CallerServer
from bronzefold.callers.server import make_server

__all__ = [
  "ActionReply",
  "Address",
  "AddressesReply",
  "CallerServer",
  "CoverageBody",
  "ErrorReply",
  "SearchBody",
  "SearchReply",
  "NodeApi",
  "make_application",
  "make_server",
]
