"""The node process."""

from bronzefold.node.node import Node

__all__ = ["Node"]
