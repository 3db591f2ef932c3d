"""How current nodes are that get the store's changes from other nodes.

Answers a large fleet, whose nodes would together call the store more often the
more they are: a few readers call it, other hubs get its changes from them, and
spokes from hubs. What each states of the store is never younger than it is.
"""

from __future__ import annotations

from bronzefold.core.clock import Seconds
from bronzefold.gateway import topology
from bronzefold.peers import membership

HEARTBEAT_PERIOD_S = 0.5
# Covers the 0.8 s between watches, two heartbeat periods and 0.5 s of margin.
UPDATE_TIMEOUT_S = 2.4
# Least time between own reads of a node that is to be updated by others: it has
# just started, or they have lost the store.
OWN_READ_PERIOD_S = 1.6
# Longest time that a watch waits for a change.
WATCH_WAIT_S = 5.0
# The same for a few nodes. On a connection that has gone silent a watch ends
# only at its time limit; if all have, these nodes notice first and tell the
# others. Changes are due 4 s after the connections went silent.
SHORT_WATCH_WAIT_S = 1.2
SHORT_WATCH_NODES = 3
# The same for a node that updates others, which must hear often that nothing
# has changed.
UPDATER_WATCH_WAIT_S = 0.5
# A watch that finds changes returns within this time; 60 times a usual one.
MAX_RESPONSE_S = 0.25


def must_read(
  members: membership.Membership, plan: topology.Topology, now: Seconds
) -> bool | None:
  """Decides whether a node reads the store itself.

  Args:
    members: The nodes, as the node knows them.
    plan: The node's links.
    now: Monotonic time.

  Returns:
    Whether it does; None if nobody that it hears from has reached the store
    lately, nor has the node, though others are alive: the store seems down.
  """
  if plan.is_reader:
    return True
  if is_updated(members, now):
    return False
  own_age_s = members.get_own_store_contact_age(now)
  if own_age_s is not None and own_age_s < UPDATE_TIMEOUT_S:
    return own_age_s >= OWN_READ_PERIOD_S
  if any(members.is_alive(node, now) for node in plan.sources):
    return None
  return True


def get_watch_wait(plan: topology.Topology, rank: int | None = None) -> Seconds:
  """Returns how long a node's watches wait for a change.

  Args:
    plan: The node's links.
    rank: Number of live hubs before this node; None if it is not a hub.
  """
  if plan.receivers:
    return UPDATER_WATCH_WAIT_S
  if rank is not None and rank < SHORT_WATCH_NODES:
    return SHORT_WATCH_WAIT_S
  return WATCH_WAIT_S


def date_watch(
  asked_at: Seconds, wait_s: Seconds, has_changes: bool, now: Seconds
) -> Seconds:
  """Returns when the store was certainly in the state that a watch returned.

  A response without changes was sent when the wait had ended. The arrival of a
  response tells nothing, as it may have been in a buffer while this process was
  paused.

  Args:
    asked_at: Monotonic time at which the watch began.
    wait_s: How long the store was to wait for a change.
    has_changes: True if the response has changes.
    now: Monotonic time after the response.
  """
  waited_until = asked_at + wait_s
  return asked_at if has_changes or waited_until > now else waited_until


def has_waited(asked_at: Seconds, now: Seconds) -> bool:
  """True if a watch that returns now has waited for a change.

  The store then had no change when the watch began.

  Args:
    asked_at: Monotonic time at which the watch began.
    now: Monotonic time.
  """
  return now - asked_at > MAX_RESPONSE_S


def get_stated_age(
  members: membership.Membership, plan: topology.Topology, now: Seconds
) -> Seconds | None:
  """Returns how long ago the store was reached, as a node states it to others.

  Args:
    members: The nodes, as the node knows them.
    plan: The node's links.
    now: Monotonic time.

  Returns:
    The age in seconds; None if the node does not know of a contact. A hub that
    does not read the store states what it heard.
  """
  if plan.is_hub and not plan.is_reader:
    return members.get_store_contact_age(now)
  return members.get_own_store_contact_age(now)


def is_updated(members: membership.Membership, now: Seconds) -> bool:
  """True if other nodes send a node the store's changes.

  Args:
    members: The nodes, as the node knows them.
    now: Monotonic time.
  """
  age_s = members.get_reported_store_contact_age(now)
  return age_s is not None and age_s < UPDATE_TIMEOUT_S
