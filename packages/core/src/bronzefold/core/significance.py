"""A one-sided exact test for the difference of two proportions."""

from __future__ import annotations

import math


def compute_excess_probability(
  suspect_hits: int, suspect_total: int, base_hits: int, base_total: int
) -> float:
  """Computes Fisher's exact test, one-sided.

  Args:
    suspect_hits: Events among the suspect's trials.
    suspect_total: The suspect's trials.
    base_hits: Events among the baseline's trials.
    base_total: The baseline's trials.

  Returns:
    Probability of at least ``suspect_hits`` events among the suspect's trials
    if both had the same rate. 1 when either has no trials.
  """
  assert 0 <= suspect_hits <= suspect_total
  assert 0 <= base_hits <= base_total
  if not suspect_total or not base_total:
    return 1.0
  hits = suspect_hits + base_hits
  total = suspect_total + base_total
  denominator = _log_choose(total, hits)
  highest = min(hits, suspect_total)
  terms = (
    _log_choose(suspect_total, k)
    + _log_choose(base_total, hits - k)
    - denominator
    for k in range(suspect_hits, highest + 1)
    if hits - k <= base_total
  )
  return min(1.0, math.fsum(math.exp(term) for term in terms))


def _log_choose(n: int, k: int) -> float:
  return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)
