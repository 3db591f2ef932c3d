"""Revisions that stay in order when the store is restored from a copy.

A store that is restored has an older revision and gives later ones out again.
Its era is then higher by one. The client puts the era above the store's own
number, so that each revision after a restore is greater than all before it.
"""

from __future__ import annotations

from bronzefold.core import exceptions

_NUMBER_BITS = 40  # enough for 35 years at 1,000 writes a second
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def join(era: int, number: int) -> int:
  """Returns a revision as the client's callers know it.

  Args:
    era: Era of the store.
    number: Revision as the store names it.

  Raises:
    StoreUnavailableError: The store named a revision out of range.
  """
  if not 0 <= number <= _NUMBER_MASK:
    raise exceptions.StoreUnavailableError(f"revision {number} is out of range")
  return era << _NUMBER_BITS | number


def get_era(revision: int) -> int:
  """Returns the era of a revision."""
  return revision >> _NUMBER_BITS


def get_number(revision: int) -> int:
  """Returns a revision as the store knows it, without its era."""
  return revision & _NUMBER_MASK
