"""The operators' command line against a running fleet."""

import json
import os
import pathlib
import subprocess
import sys
import unittest

from tests import fleet

BINARY = pathlib.Path(sys.executable).parent / "bronzefoldctl"


class OperatorsTest(unittest.TestCase):
  """Two nodes without traffic."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)

  def run_ctl(self, *args: str) -> tuple[int, str]:
    command = [str(BINARY), f"--platform={self.fleet.platform}", *args]
    done = subprocess.run(
      command, capture_output=True, text=True, timeout=30, env=os.environ
    )
    return done.returncode, done.stdout + done.stderr

  def write(self, document: dict) -> str:
    path = self.fleet.path / "document.json"
    path.write_text("// a comment\n" + json.dumps(document))
    return str(path)

  def read_document_revision(self) -> int:
    key = "/v1/keys/bronzefold%2Fdocuments%2Ffuel"
    return fleet.call("GET", self.fleet.platform, key)[1]["revision"]

  def test_apply_is_in_force_and_shown(self):
    path = self.write(self.fleet.make_document())
    code, output = self.run_ctl("apply", path)
    self.assertEqual(code, 0, output)
    self.assertIn("in force on every node", output)
    code, output = self.run_ctl("show", "fuel")
    self.assertEqual(code, 0, output)
    shown = json.loads(output.partition("\n")[2])
    self.assertEqual(shown["owner"], "depot-team")

  def test_bad_document_is_refused_whole(self):
    document = self.fleet.make_document()
    document["limits"]["slots"] = 0
    document["upstreams"][0]["zone"] = "nowhere"
    path = self.write(document)
    before = self.read_document_revision()
    code, output = self.run_ctl("apply", path)
    self.assertEqual(code, 2)
    self.assertIn(f"{path}: $.limits.slots", output)
    self.assertIn("$.upstreams[0].zone", output)
    self.assertEqual(self.read_document_revision(), before)

  def test_racing_operators_get_a_named_conflict(self):
    path = self.write(self.fleet.make_document(service="race", upstreams=[]))
    self.assertEqual(self.run_ctl("--author=mali", "apply", path)[0], 0)
    code, output = self.run_ctl("--revision=1", "apply", path)
    self.assertEqual(code, 3)
    self.assertIn("by mali", output)

  def test_zone_out_and_in(self):
    self.run_ctl("apply", self.write(self.fleet.make_document()))
    code, output = self.run_ctl("zone", "b", "out")
    self.assertEqual(code, 0, output)
    code, output = self.run_ctl("zone", "b", "in")
    self.assertEqual(code, 0, output)
    self.assertEqual(self.run_ctl("zone", "b", "away")[0], 2)
    self.assertEqual(self.run_ctl("zone", "unknown", "out")[0], 2)

  def test_status_lists_nodes_and_upstreams(self):
    self.run_ctl("apply", self.write(self.fleet.make_document()))
    code, output = self.run_ctl("nodes")
    self.assertEqual(code, 0, output)
    self.assertIn("n0 a serving current", output)
    code, output = self.run_ctl("upstreams")
    self.assertEqual(code, 0, output)

  def test_follow_prints_the_document_and_its_changes(self):
    self.run_ctl("apply", self.write(self.fleet.make_document()))
    code, output = self.run_ctl("--timeout_s=1", "follow", "fuel")
    self.assertEqual(code, 0, output)
    self.assertIn("document", output)
    self.assertIn("depot-team", output)

  def test_report_burn_writes_text_and_page(self):
    self.run_ctl("apply", self.write(self.fleet.make_document()))
    page = self.fleet.path / "burn.html"
    code, output = self.run_ctl(f"--output={page}", "report", "burn")
    self.assertEqual(code, 0, output)
    self.assertIn("SERVICE ROUTE OBJECTIVE", output)
    self.assertIn("<h2>fuel</h2>", page.read_text())

  def test_unknown_command_prints_the_usage(self):
    code, output = self.run_ctl("none")
    self.assertEqual(code, 2)
    self.assertIn("apply FILE", output)

  def test_lost_reply_counts_as_accepted(self):
    self.fleet.set_platform_faults(lose=0.5)
    try:
      path = self.write(self.fleet.make_document(service="lost", upstreams=[]))
      code, output = self.run_ctl("apply", path)
    finally:
      self.fleet.set_platform_faults(lose=0.0)
    self.assertEqual(code, 0, output)


class SettingsFileTest(unittest.TestCase):
  """The node's check of its settings."""

  def test_bad_settings_are_refused(self):
    binary = pathlib.Path(sys.executable).parent / "bronzefold"
    done = subprocess.run(
      [str(binary), "--settings=/dev/null"], capture_output=True, text=True
    )
    self.assertEqual(done.returncode, 2)
    self.assertIn("/dev/null", done.stderr)


if __name__ == "__main__":
  unittest.main()
