"""Tests of burn rates, alerts and the burn report."""

import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold.core import burn
from bronzefold.core import documents
from bronzefold.operators import report

NOW = 1_800_000_000.0
OBJECTIVES = documents.Objectives(
  latency_share=0.99, coverage_share=0.999, availability_share=0.999
)


def make_history(per_minute: burn.RequestCounts, minutes: int) -> burn.History:
  """Creates a history with the same counts in each of the last minutes."""
  history = burn.History()
  for minute in range(minutes, 0, -1):
    at = NOW - 60.0 * minute
    history = burn.add_counts(history, {"top": per_minute}, at)
  return history


class BurnTest(unittest.TestCase):
  """Histories and rates at given times."""

  @given(
    times=strategies.lists(
      strategies.floats(NOW - 2 * 86_400, NOW), min_size=1, max_size=40
    )
  )
  @settings(derandomize=True, deadline=None)
  def test_compaction_keeps_every_request(self, times):
    history = burn.History()
    for at in sorted(times):
      history = burn.add_counts(history, {"top": burn.RequestCounts(1, 1)}, at)
    kept = [b.routes["top"] for b in history.buckets]
    self.assertEqual(sum(counts.total for counts in kept), len(times))
    starts = [(b.start, b.length_s) for b in history.buckets]
    self.assertEqual(len(set(starts)), len(starts))

  def test_rate_is_one_when_budget_is_spent_evenly(self):
    history = make_history(burn.RequestCounts(1000, 1, 0, 0), 30)
    rates = burn.compute_rates(history, OBJECTIVES, NOW)
    found = {(r.objective, r.window): r.rate for r in rates}
    self.assertAlmostEqual(found["availability", "5m"], 1.0)
    self.assertEqual(found["latency", "5m"], 0.0)

  def test_outage_raises_fast_alert(self):
    history = make_history(burn.RequestCounts(100, 50), 60)
    rates = burn.compute_rates(history, OBJECTIVES, NOW)
    alerts = burn.find_alerts(rates)
    self.assertIn(burn.Alert("top", "availability", "fast"), alerts)
    self.assertNotIn(burn.Alert("top", "latency", "fast"), alerts)

  def test_service_without_failures_raises_no_alert(self):
    history = make_history(burn.RequestCounts(1000), 60)
    rates = burn.compute_rates(history, OBJECTIVES, NOW)
    self.assertEqual(burn.find_alerts(rates), [])

  def test_report_is_written_as_text_and_page(self):
    document = documents.Document(
      "fuel", "team", {}, (), {}, {}, objectives=OBJECTIVES
    )
    history = make_history(burn.RequestCounts(100, 0, 40, 0), 90)
    assessed = report.assess_burn(document, history, NOW)
    text = report.write_text([assessed])
    self.assertIn("fuel top latency", text)
    self.assertIn("fast_burn", text)
    with tempfile.TemporaryDirectory() as directory:
      path = pathlib.Path(directory) / "burn.html"
      report.write_page([assessed], path, NOW)
      self.assertIn("data:image/png;base64", path.read_text())


if __name__ == "__main__":
  unittest.main()
