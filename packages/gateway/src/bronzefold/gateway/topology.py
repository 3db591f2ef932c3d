"""Who carries callers' requests, who reads the store, who talks to whom.

Everything follows from the nodes that are known and their capacities, so all
nodes come to the same result without agreeing on it.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import hashlib
import itertools

import attrs

from bronzefold.peers import membership
from bronzefold.peers.membership import Member

_CARRIED_SHARE = 0.15  # of all capacity; demand asks for more where it must
_DEMAND_FACTOR = (
  2.5  # carriers busy for 40% at most, so that requests do not queue
)
_MIN_CARRIERS = 3  # a caller tries another when one or two do not answer
_SAME_CAPACITY = 0.9  # less of a difference is not worth fewer carriers
_SPARE_WEIGHT = 0.1  # such nodes get only what callers send without asking
_NODES_PER_HUB = 8  # an eighth of the calls; more would load each hub further
_HUBS_OF_SPOKE = 4  # one more than callers are told of at the least


@attrs.frozen
class Topology:
  """What one node makes of the nodes that it knows.

  Attributes:
    is_hub: True if this node reads the store by itself.
    neighbours: Nodes to exchange heartbeats with.
    spokes: The neighbours that learn changes from this node.
    hubs: Names of all hubs.
  """

  is_hub: bool
  neighbours: tuple[Member, ...]
  spokes: tuple[Member, ...] = ()
  hubs: frozenset[str] = frozenset()


def plan_topology(own: Member, others: Collection[Member]) -> Topology:
  """Plans the links of a node.

  In a small fleet all nodes read the store and all are linked. In a large one
  hubs read it, a few for each zone's worth of nodes, and each of the others is
  linked to some hubs. Carriers and hubs have links among themselves besides.

  Args:
    own: This node.
    others: The other nodes, whether alive or not.
  """
  everyone = [own, *others]
  if len(others) < membership.MAX_FULL_MESH_NODES:
    names = frozenset(member.node for member in everyone)
    return Topology(is_hub=True, neighbours=tuple(others), hubs=names)
  carriers = choose_entry_nodes(everyone)
  hubs = _choose_hubs(everyone)
  linked = _list_links(own, others, hubs)
  rings = [
    membership.choose_neighbours(
      own, [member for member in group if member != own]
    )
    for group in (carriers, hubs)
    if own in group
  ]
  names = {m.node for m in itertools.chain(linked, *rings)}
  return Topology(
    is_hub=own in hubs,
    neighbours=tuple(member for member in others if member.node in names),
    spokes=tuple(linked) if own in hubs else (),
    hubs=frozenset(member.node for member in hubs),
  )


def choose_entry_nodes(
  members: Iterable[Member], demand: float = 0.0
) -> list[Member]:
  """Chooses the nodes to which callers are sent: the largest that suffice.

  A search goes to all shards at once, so its latency is that of the node's
  processor; and each connection to an upstream is kept in fewer places.

  Args:
    members: The nodes to choose from.
    demand: Cores that all requests take now.

  Returns:
    Whole classes of about the same capacity, the largest first.
  """
  ordered = sorted(members, key=lambda m: (-m.capacity, m.node))
  needed = max(
    _CARRIED_SHARE * sum(member.capacity for member in ordered),
    _DEMAND_FACTOR * demand,
  )
  chosen: list[Member] = []
  sums = itertools.accumulate(
    (member.capacity for member in ordered), initial=0.0
  )
  for member, before in zip(ordered, sums, strict=False):
    suffices = before >= needed and len(chosen) >= _MIN_CARRIERS
    if suffices and member.capacity < _SAME_CAPACITY * chosen[-1].capacity:
      break
    chosen.append(member)
  return chosen


def compute_limit_share(
  own: Member, members: Collection[Member], demand: float
) -> float:
  """Computes the part of each limit that a node may use.

  Args:
    own: This node.
    members: All nodes that may use a part, this one included.
    demand: Cores that all requests take now.
  """
  carriers = {member.node for member in choose_entry_nodes(members, demand)}
  weights = {
    member.node: 1.0 if member.node in carriers else _SPARE_WEIGHT
    for member in members
  }
  return weights[own.node] / sum(weights.values())


def _choose_hubs(members: Collection[Member]) -> list[Member]:
  count = -(-len(members) // _NODES_PER_HUB)
  ordered = sorted(
    members, key=lambda m: (-m.capacity, _hash(m.node, ""), m.node)
  )
  return ordered[:count]


def _list_links(
  own: Member, others: Iterable[Member], hubs: list[Member]
) -> list[Member]:
  """Lists a hub's spokes, or the hubs of a spoke."""
  if own not in hubs:
    return _choose_hubs_of(own, hubs)
  known = set(hubs)
  return [
    member
    for member in others
    if member not in known and own in _choose_hubs_of(member, hubs)
  ]


def _choose_hubs_of(spoke: Member, hubs: list[Member]) -> list[Member]:
  """Chooses by rendezvous hashing, own zone first: bytes between are priced."""
  ranked = sorted(
    hubs,
    key=lambda hub: (hub.zone != spoke.zone, _hash(hub.node, spoke.node)),
  )
  return ranked[:_HUBS_OF_SPOKE]


def _hash(name: str, other: str) -> bytes:
  return hashlib.blake2b(f"{name}/{other}".encode(), digest_size=8).digest()
