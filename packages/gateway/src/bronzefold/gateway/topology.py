"""Roles of nodes and links between them: entry nodes, readers, hubs, spokes.

All results are computed from the known nodes and their capacities, so nodes
with the same knowledge compute the same topology without coordination.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import hashlib
import itertools

import attrs

from bronzefold.peers import membership
from bronzefold.peers.membership import Member

_MIN_ENTRY_CAPACITY_SHARE = 0.15  # of all capacity; high demand needs more
_DEMAND_FACTOR = 2.5  # entry nodes at most 40% busy, so requests do not queue
_MIN_ENTRY_NODES = 3  # a caller can retry when one or two do not answer
# A smaller gap does not justify fewer entry nodes.
_SIMILAR_CAPACITY_RATIO = 0.9
# Nodes that are not entry nodes get only requests that skip the directory.
_OTHER_NODE_WEIGHT = 0.1
# More nodes for each hub would load hubs further, and fewer spokes would have
# their hubs in their own zone.
_NODES_PER_HUB = 12
_MIN_HUBS = 3  # two may fail at once
_READERS_PER_HUB = 2  # one may fail, or be cut off from the store
_HUBS_PER_SPOKE = 3  # two may fail at once
# Every hub is linked to every allocator, so this bounds a hub's further links.
_MAX_ALLOCATORS = 8


@attrs.frozen
class Topology:
  """Links of one node, planned from the nodes that it knows.

  Attributes:
    is_hub: True if this node is a hub; in a small fleet all nodes are.
    is_reader: True if this hub reads the store itself.
    neighbours: Nodes with which this node exchanges heartbeats.
    spokes: The neighbours of which this node is a hub.
    receivers: The neighbours that get the store's changes from this node.
    sources: Names of the neighbours that send it the store's changes.
    hubs: Names of all hubs.
    readers: Names of the hubs that read the store.
    allocators: Names of the hubs that allocate tokens of rate limits.
  """

  is_hub: bool
  neighbours: tuple[Member, ...]
  is_reader: bool = True
  spokes: tuple[Member, ...] = ()
  receivers: tuple[Member, ...] = ()
  sources: frozenset[str] = frozenset()
  hubs: frozenset[str] = frozenset()
  readers: frozenset[str] = frozenset()
  allocators: frozenset[str] = frozenset()


def plan_topology(own_member: Member, others: Collection[Member]) -> Topology:
  """Plans the links of a node.

  In a small fleet all nodes read the store and all are linked. In a large one
  each node is linked to some hubs, one for each ``_NODES_PER_HUB`` nodes. One
  hub of each zone reads the store, and sends its changes to other hubs. So the
  store's load grows with the number of zones, not of nodes. Entry nodes are
  also linked among themselves, and so are hubs.

  Args:
    own_member: This node.
    others: The other nodes, whether alive or not.

  Returns:
    The links of this node.
  """
  all_members = [own_member, *others]
  if len(others) < membership.MAX_FULL_MESH_NODES:
    names = frozenset(member.node for member in all_members)
    return Topology(
      is_hub=True, neighbours=tuple(others), hubs=names, allocators=names
    )
  entry_nodes = choose_entry_nodes(all_members)
  hubs = _choose_hubs(all_members)
  readers = _choose_readers(hubs)
  linked = _list_linked_members(own_member, others, hubs)
  rings = [
    membership.choose_neighbours(
      own_member, [member for member in group if member != own_member]
    )
    for group in (entry_nodes, hubs)
    if own_member in group
  ]
  allocators = hubs[:_MAX_ALLOCATORS]
  if own_member in hubs:
    rings.append(hubs if own_member in allocators else allocators)
  spokes = linked if own_member in hubs else []
  relays = _list_relays(own_member, hubs, readers)
  sources = _list_sources(own_member, linked, hubs, readers)
  rings += [relays, sources]
  names = {m.node for m in itertools.chain(linked, *rings)}
  return Topology(
    is_hub=own_member in hubs,
    is_reader=own_member in readers,
    neighbours=tuple(member for member in others if member.node in names),
    spokes=tuple(spokes),
    receivers=(*spokes, *relays),
    sources=frozenset(member.node for member in sources),
    hubs=frozenset(member.node for member in hubs),
    readers=frozenset(member.node for member in readers),
    allocators=frozenset(member.node for member in allocators),
  )


def choose_entry_nodes(
  members: Iterable[Member], demand: float = 0.0
) -> list[Member]:
  """Chooses the nodes to which callers are sent: the largest that suffice.

  A search goes to all shards at once, so its latency depends on the speed of
  the node's processor. With fewer entry nodes, fewer nodes also hold
  connections to each upstream.

  Args:
    members: The nodes to choose from.
    demand: Processor cores in use by all requests.

  Returns:
    The entry nodes, the largest first. Nodes of similar capacity are chosen
    all together or not at all.
  """
  ordered = sorted(members, key=lambda m: (-m.capacity, m.node))
  needed_capacity = max(
    _MIN_ENTRY_CAPACITY_SHARE * sum(member.capacity for member in ordered),
    _DEMAND_FACTOR * demand,
  )
  chosen: list[Member] = []
  capacity_sums = itertools.accumulate(
    (member.capacity for member in ordered), initial=0.0
  )
  for member, larger_capacity in zip(ordered, capacity_sums, strict=False):
    suffices = (
      larger_capacity >= needed_capacity and len(chosen) >= _MIN_ENTRY_NODES
    )
    if (
      suffices
      and member.capacity < _SIMILAR_CAPACITY_RATIO * chosen[-1].capacity
    ):
      break
    chosen.append(member)
  return chosen


def compute_limit_share(
  own_member: Member, members: Collection[Member], demand: float
) -> float:
  """Computes the share of each limit that a node may use.

  Args:
    own_member: This node.
    members: All nodes that may use a share, this one included.
    demand: Processor cores in use by all requests.

  Returns:
    The share, from 0 to 1; the shares of all nodes add up to 1.
  """
  entry_nodes = {member.node for member in choose_entry_nodes(members, demand)}
  weights = {
    member.node: 1.0 if member.node in entry_nodes else _OTHER_NODE_WEIGHT
    for member in members
  }
  return weights[own_member.node] / sum(weights.values())


def _choose_hubs(members: Collection[Member]) -> list[Member]:
  """Chooses the largest nodes as hubs; ties are broken by a hash."""
  count = max(_MIN_HUBS, -(-len(members) // _NODES_PER_HUB))
  ordered = sorted(
    members, key=lambda m: (-m.capacity, hash_names(m.node, ""), m.node)
  )
  return ordered[:count]


def _choose_readers(hubs: Iterable[Member]) -> list[Member]:
  """Chooses the first hub of each zone, and others up to ``_MIN_HUBS``."""
  ordered = list(hubs)
  by_zone = {hub.zone: hub for hub in reversed(ordered)}
  firsts = [hub for hub in ordered if hub == by_zone[hub.zone]]
  rest = [hub for hub in ordered if hub not in firsts]
  return [*firsts, *rest[: max(0, _MIN_HUBS - len(firsts))]]


def _list_relays(
  own_member: Member, hubs: Iterable[Member], readers: Collection[Member]
) -> list[Member]:
  """Lists the hubs that get the store's changes from this node."""
  if own_member not in readers:
    return []
  return [
    hub
    for hub in hubs
    if hub not in readers and own_member in _choose_readers_of_hub(hub, readers)
  ]


def _list_sources(
  own_member: Member,
  linked: list[Member],
  hubs: Collection[Member],
  readers: Collection[Member],
) -> list[Member]:
  """Lists the nodes from which this node gets the store's changes."""
  if own_member in readers:
    return []
  if own_member in hubs:
    return _choose_readers_of_hub(own_member, readers)
  return linked


def _choose_readers_of_hub(
  hub: Member, readers: Iterable[Member]
) -> list[Member]:
  """Chooses the readers of a hub, those of its zone first."""
  return _choose_nearest(hub, readers)[:_READERS_PER_HUB]


def _list_linked_members(
  own_member: Member, others: Iterable[Member], hubs: list[Member]
) -> list[Member]:
  """Lists a hub's spokes, or the hubs of a spoke."""
  if own_member not in hubs:
    return _choose_hubs_for_spoke(own_member, hubs)
  hub_set = set(hubs)
  return [
    member
    for member in others
    if member not in hub_set
    and own_member in _choose_hubs_for_spoke(member, hubs)
  ]


def _choose_hubs_for_spoke(spoke: Member, hubs: list[Member]) -> list[Member]:
  """Chooses the hubs of a spoke by rendezvous hashing.

  Hubs of the spoke's zone come first, because traffic between zones has a cost.

  Args:
    spoke: The spoke.
    hubs: All hubs.

  Returns:
    Up to ``_HUBS_PER_SPOKE`` hubs.
  """
  return _choose_nearest(spoke, hubs)[:_HUBS_PER_SPOKE]


def _choose_nearest(node: Member, members: Iterable[Member]) -> list[Member]:
  """Ranks members for a node by rendezvous hashing, those of its zone first."""
  return sorted(
    members,
    key=lambda m: (m.zone != node.zone, hash_names(m.node, node.node)),
  )


def hash_names(name: str, other_name: str) -> bytes:
  """Returns the rank of two names for rendezvous hashing."""
  return hashlib.blake2b(
    f"{name}/{other_name}".encode(), digest_size=8
  ).digest()
