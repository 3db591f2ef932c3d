"""Registry of routing policies, which choose the upstream for a request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import random

import attrs

_MAX_SAME_ZONE_RELATIVE_LOAD = 1.0


@attrs.frozen
class Candidate:
  """An upstream that may serve a request.

  Attributes:
    upstream: Name of the upstream.
    version: Version of the upstream.
    same_zone: Whether the upstream is in this node's availability zone.
    load: Requests that wait for the upstream or run on it, as far as known.
    limit: Requests that the upstream may run at once: its slots, or fewer
      while it is cold.
    latency_s: Typical latency of the upstream, 0 if unknown.
  """

  upstream: str
  version: str
  same_zone: bool
  load: float
  limit: int
  latency_s: float

  @property
  def relative_load(self) -> float:
    """Load as a multiple of the upstream's slots.

    It is 0 for every idle upstream, whatever its limit, so that a cold upstream
    gets the traffic that proves it warm.
    """
    return self.load / self.limit


Policy = Callable[[Sequence[Candidate], random.Random], Candidate]

_POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
  """Returns a decorator that registers a routing policy.

  Args:
    name: Name of the policy in the settings.
  """

  def decorate(policy: Policy) -> Policy:
    _POLICIES[name] = policy
    return policy

  return decorate


def get_policy(name: str) -> Policy | None:
  """Returns the policy of a name, None if the name is unknown."""
  return _POLICIES.get(name)


def list_policies() -> list[str]:
  """Lists the names of all policies."""
  return sorted(_POLICIES)


@register_policy("random")
def choose_random(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Chooses a random candidate."""
  return generator.choice(candidates)


@register_policy("least_outstanding")
def choose_least_outstanding(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Chooses the candidate with the lowest relative load."""
  return min(
    candidates,
    key=lambda candidate: (candidate.relative_load, generator.random()),
  )


@register_policy("two_choices")
def choose_of_two(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Chooses the candidate with the lower relative load of two random ones."""
  if len(candidates) <= 2:
    return choose_least_outstanding(candidates, generator)
  return choose_least_outstanding(generator.sample(candidates, 2), generator)


@register_policy("own_zone_first")
def choose_own_zone_first(
  candidates: Sequence[Candidate], generator: random.Random
) -> Candidate:
  """Prefers candidates in this node's zone that have free slots."""
  in_zone = [
    candidate
    for candidate in candidates
    if candidate.same_zone
    and candidate.relative_load < _MAX_SAME_ZONE_RELATIVE_LOAD
  ]
  return choose_of_two(in_zone or candidates, generator)
