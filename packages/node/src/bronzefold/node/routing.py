"""Choice of the upstream for a request, by policies in a registry."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import random

import attrs

_SAME_ZONE_LOAD_LIMIT = 1.0


@attrs.frozen
class Candidate:
  """An upstream that may serve a request.

  Attributes:
    upstream: Name of the upstream.
    version: Its version.
    same_zone: True when it is in this node's availability zone.
    load: Requests known to wait for it or run on it.
    limit: Requests that it may run at once.
    latency_s: Its usual latency, 0 when not known.
  """

  upstream: str
  version: str
  same_zone: bool
  load: float
  limit: int
  latency_s: float

  @property
  def pressure(self) -> float:
    """Work ahead of a new request, in rounds of the upstream's slots.

    Idle upstreams are alike whatever their limit, so that a cold one gets the
    traffic that proves it warm.
    """
    return self.load / self.limit


Policy = Callable[[Sequence[Candidate], random.Random], Candidate]

_POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
  """Registers a routing policy under a name for the settings."""

  def decorate(policy: Policy) -> Policy:
    _POLICIES[name] = policy
    return policy

  return decorate


def get_policy(name: str) -> Policy | None:
  """Returns a policy, None if the name is unknown."""
  return _POLICIES.get(name)


def list_policies() -> list[str]:
  """Lists the names of all policies."""
  return sorted(_POLICIES)


@register_policy("random")
def choose_random(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Chooses any candidate."""
  return generator.choice(candidates)


@register_policy("least_outstanding")
def choose_least_outstanding(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Chooses the candidate with the least work ahead."""
  return min(candidates, key=lambda c: (c.pressure, generator.random()))


@register_policy("two_choices")
def choose_of_two(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Chooses the one with less work ahead of two random candidates."""
  if len(candidates) <= 2:
    return choose_least_outstanding(candidates, generator)
  return choose_least_outstanding(generator.sample(candidates, 2), generator)


@register_policy("own_zone_first")
def choose_own_zone_first(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Prefers the own availability zone while it has room."""
  near = [
    c for c in candidates if c.same_zone and c.pressure < _SAME_ZONE_LOAD_LIMIT
  ]
  return choose_of_two(near or candidates, generator)
