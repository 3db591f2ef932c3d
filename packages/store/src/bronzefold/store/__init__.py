"""Client of the key-value store."""

from bronzefold.store import eras
from bronzefold.store import keys
from bronzefold.store.client import StoreClient
from bronzefold.store.dialect import DefaultDialect
from bronzefold.store.dialect import Dialect
from bronzefold.store.messages import Call
from bronzefold.store.messages import Entry
from bronzefold.store.messages import Lease
from bronzefold.store.messages import Listing
from bronzefold.store.messages import VmEntry
from bronzefold.store.messages import VmList

__all__ = [
  "Call",
  "Dialect",
  "Entry",
  "Lease",
  "Listing",
  "DefaultDialect",
  "StoreClient",
  "VmEntry",
  "VmList",
  "eras",
  "keys",
]
