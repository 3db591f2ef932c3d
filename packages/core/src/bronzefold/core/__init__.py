"""Types that every member of the workspace shares."""

from bronzefold.core.documents import Document
from bronzefold.core.documents import read_document
from bronzefold.core.documents import write_document
from bronzefold.core.exceptions import BronzefoldError
from bronzefold.core.ranges import Coverage
from bronzefold.core.ranges import KeyRange
from bronzefold.core.ranges import Manifest
from bronzefold.core.ranges import ShardEntry
from bronzefold.core.settings import Settings
from bronzefold.core.settings import load_settings

__all__ = [
  "BronzefoldError",
  "Coverage",
  "Document",
  "KeyRange",
  "Manifest",
  "Settings",
  "ShardEntry",
  "load_settings",
  "read_document",
  "write_document",
]
