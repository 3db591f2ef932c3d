"""Client of the platform's key-value service."""

from bronzefold.platform import keys
from bronzefold.platform.client import PlatformClient
from bronzefold.platform.messages import Entry
from bronzefold.platform.messages import Lease
from bronzefold.platform.messages import Listing
from bronzefold.platform.messages import VmEntry
from bronzefold.platform.messages import VmList

__all__ = [
  "Entry",
  "Lease",
  "Listing",
  "PlatformClient",
  "VmEntry",
  "VmList",
  "keys",
]
