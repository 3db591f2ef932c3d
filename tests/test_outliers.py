"""Upstreams whose replies are unusable are ejected for a time."""

import unittest

from bronzefold import upstreams
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.node import outliers
from bronzefold.node import selection
from bronzefold.peers import messages


def make_usable_upstream(name: str) -> selection.UsableUpstream:
  """Makes a usable upstream that is warm."""
  entry = documents.UpstreamEntry(name, "127.0.0.1:1", "a", "v1")
  state = upstreams.UpstreamState(True, False, "i", True, 0.01, 2, ())
  report = messages.UpstreamReport(name, "fuel", "n0", 1, 1, state)
  return selection.UsableUpstream(entry, report)


class OutliersTest(unittest.TestCase):
  """A detector with two upstreams, at given times."""

  def setUp(self):
    self.detector = outliers.OutlierDetector()
    self.candidates = [
      make_usable_upstream("bad"),
      make_usable_upstream("good"),
    ]

  def record_failures(self, name: str, times: int, now: float) -> None:
    for _ in range(times):
      error = exceptions.MalformedReplyError("short")
      self.detector.record_exchange(name, error, now)

  def list_remaining(self, now: float) -> list[str]:
    return [
      u.entry.name for u in self.detector.filter_upstreams(self.candidates, now)
    ]

  def test_upstream_is_ejected_after_consecutive_failures_then_retried(self):
    self.record_failures("bad", defaults.OUTLIER_FAILURES - 1, 1.0)
    self.assertEqual(self.list_remaining(1.0), ["bad", "good"])
    self.record_failures("bad", 1, 1.0)
    self.assertEqual(self.list_remaining(1.5), ["good"])
    retry_at = 1.0 + defaults.OUTLIER_EJECTION_S
    self.assertEqual(self.list_remaining(retry_at), ["bad", "good"])
    self.record_failures("bad", 1, retry_at)
    self.assertEqual(self.list_remaining(retry_at + 0.1), ["good"])

  def test_good_reply_resets_failures_and_refusals_are_ignored(self):
    for _ in range(9):
      self.record_failures("bad", defaults.OUTLIER_FAILURES - 1, 1.0)
      self.detector.record_exchange("bad", None, 1.0)
      refusal = exceptions.UpstreamRefusedError("shed")
      self.detector.record_exchange("bad", refusal, 1.0)
    self.assertEqual(self.list_remaining(1.0), ["bad", "good"])

  def test_all_upstreams_remain_when_all_are_ejected(self):
    self.record_failures("bad", 5, 1.0)
    self.record_failures("good", 5, 1.0)
    self.assertEqual(self.list_remaining(1.0), ["bad", "good"])


if __name__ == "__main__":
  unittest.main()
