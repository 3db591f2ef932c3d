"""Digests by which nodes detect missing reports."""

import itertools
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bronzefold import upstreams
from bronzefold.node import directory
from bronzefold.peers import messages


def make_report(name: str, term: int, number: int) -> messages.UpstreamReport:
  """Makes a report of a warm upstream."""
  state = upstreams.UpstreamState(True, False, "one", True, 0.01, 2, ())
  return messages.UpstreamReport(name, "fuel", "n0", term, number, state)


_REPORTS = strategies.lists(
  strategies.builds(
    make_report,
    strategies.sampled_from("abc"),
    strategies.integers(1, 4),
    strategies.integers(1, 4),
  ),
  max_size=30,
)


class DirectoryTest(unittest.TestCase):
  """Reports recorded in any order."""

  @given(reports=_REPORTS, generator=strategies.randoms(use_true_random=False))
  @settings(derandomize=True, deadline=None)
  def test_digests_are_equal_exactly_for_equal_reports(
    self, reports, generator
  ):
    first, second = directory.UpstreamDirectory(), directory.UpstreamDirectory()
    for report in reports:
      first.record_report(report)
    shuffled = list(reports)
    generator.shuffle(shuffled)
    for report in shuffled:
      second.record_report(report)
    self.assertEqual(first.digest, second.digest)
    if reports:
      newest_term_and_number = max(
        (r.term, r.number) for r in reports if r.upstream == reports[0].upstream
      )
      second.record_report(
        make_report(reports[0].upstream, *newest_term_and_number[:1], 99)
      )
      self.assertNotEqual(first.digest, second.digest)

  def test_dropped_upstreams_do_not_change_the_digest(self):
    first, second = directory.UpstreamDirectory(), directory.UpstreamDirectory()
    first.record_report(make_report("a", 1, 1))
    for term, number in itertools.product((1, 2), (1, 2)):
      second.record_report(make_report("b", term, number))
    second.record_report(make_report("a", 1, 1))
    second.retain_upstreams(["a"])
    self.assertEqual(first.digest, second.digest)


if __name__ == "__main__":
  unittest.main()
