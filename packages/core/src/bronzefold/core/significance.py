"""A one-sided exact test for the difference of two proportions."""

from __future__ import annotations

import math


def compute_excess_probability(
  suspect_hits: int, suspect_total: int, baseline_hits: int, baseline_total: int
) -> float:
  """Computes Fisher's exact test, one-sided.

  Args:
    suspect_hits: Events among the suspect's trials.
    suspect_total: The suspect's trials.
    baseline_hits: Events among the baseline's trials.
    baseline_total: The baseline's trials.

  Returns:
    Probability of at least ``suspect_hits`` events among the suspect's trials
    if both had the same rate. 1 when either has no trials.
  """
  assert 0 <= suspect_hits <= suspect_total
  assert 0 <= baseline_hits <= baseline_total
  if not suspect_total or not baseline_total:
    return 1.0
  hits = suspect_hits + baseline_hits
  total = suspect_total + baseline_total
  denominator = _log_choose(total, hits)
  max_suspect_hits = min(hits, suspect_total)
  terms = (
    _log_choose(suspect_total, k)
    + _log_choose(baseline_total, hits - k)
    - denominator
    for k in range(suspect_hits, max_suspect_hits + 1)
    if hits - k <= baseline_total
  )
  return min(1.0, math.fsum(math.exp(term) for term in terms))


def _log_choose(n: int, k: int) -> float:
  return math.lgamma(n + 1) - math.lgamma(k + 1) - math.lgamma(n - k + 1)
