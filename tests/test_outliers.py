"""Upstreams whose replies are unusable are avoided for a while."""

import unittest

from bronzefold import upstreams
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.node import outliers
from bronzefold.node import selection
from bronzefold.peers import messages


def make_usable(name: str) -> selection.UsableUpstream:
  """Makes a warm upstream."""
  entry = documents.UpstreamEntry(name, "127.0.0.1:1", "a", "v1")
  state = upstreams.UpstreamState(True, False, "i", True, 0.01, 2, ())
  report = messages.UpstreamReport(name, "fuel", "n0", 1, 1, state)
  return selection.UsableUpstream(entry, report)


class OutliersTest(unittest.TestCase):
  """Times are given."""

  def setUp(self):
    self.detector = outliers.OutlierDetector()
    self.both = [make_usable("bad"), make_usable("good")]

  def fail(self, name: str, times: int, now: float) -> None:
    for _ in range(times):
      error = exceptions.MalformedReplyError("short")
      self.detector.record_reply(name, error, now)

  def list_kept(self, now: float) -> list[str]:
    return [
      u.entry.name for u in self.detector.filter_upstreams(self.both, now)
    ]

  def test_avoided_after_failures_in_a_row_and_tried_again(self):
    self.fail("bad", defaults.OUTLIER_FAILURES - 1, 1.0)
    self.assertEqual(self.list_kept(1.0), ["bad", "good"])
    self.fail("bad", 1, 1.0)
    self.assertEqual(self.list_kept(1.5), ["good"])
    later = 1.0 + defaults.OUTLIER_EJECTION_S
    self.assertEqual(self.list_kept(later), ["bad", "good"])
    self.fail("bad", 1, later)
    self.assertEqual(self.list_kept(later + 0.1), ["good"])

  def test_good_reply_and_refusals_do_not_count(self):
    for _ in range(9):
      self.fail("bad", defaults.OUTLIER_FAILURES - 1, 1.0)
      self.detector.record_reply("bad", None, 1.0)
      refused = exceptions.UpstreamRefusedError("shed")
      self.detector.record_reply("bad", refused, 1.0)
    self.assertEqual(self.list_kept(1.0), ["bad", "good"])

  def test_all_are_kept_when_all_are_bad(self):
    self.fail("bad", 5, 1.0)
    self.fail("good", 5, 1.0)
    self.assertEqual(self.list_kept(1.0), ["bad", "good"])


if __name__ == "__main__":
  unittest.main()
