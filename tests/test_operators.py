"""Tests of ``bronzefoldctl`` against a running fleet."""

import json
import os
import pathlib
import subprocess
import sys
import unittest

from tests import fleet

BINARY = pathlib.Path(sys.executable).parent / "bronzefoldctl"


class OperatorsTest(unittest.TestCase):
  """Commands on a fleet of two nodes without traffic."""

  @classmethod
  def setUpClass(cls):
    cls.fleet = fleet.Fleet(nodes=2)
    cls.enterClassContext(cls.fleet)

  def run_ctl(self, *args: str) -> tuple[int, str]:
    command = [str(BINARY), f"--platform={self.fleet.store_address}", *args]
    completed = subprocess.run(
      command, capture_output=True, text=True, timeout=30, env=os.environ
    )
    return completed.returncode, completed.stdout + completed.stderr

  def write(self, document: dict) -> str:
    path = self.fleet.path / "document.json"
    path.write_text("// a comment\n" + json.dumps(document))
    return str(path)

  def read_document_revision(self) -> int:
    key = "/v1/keys/bronzefold%2Fdocuments%2Ffuel"
    return fleet.call("GET", self.fleet.store_address, key)[1]["revision"]

  def test_applied_document_is_in_force_and_shown(self):
    path = self.write(self.fleet.make_document())
    code, output = self.run_ctl("apply", path)
    self.assertEqual(code, 0, output)
    self.assertIn("in force on every node", output)
    code, output = self.run_ctl("show", "fuel")
    self.assertEqual(code, 0, output)
    shown = json.loads(output.partition("\n")[2])
    self.assertEqual(shown["owner"], "depot-team")

  def test_invalid_document_is_refused_and_store_unchanged(self):
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

  def test_stale_revision_is_a_conflict_that_names_the_author(self):
    path = self.write(self.fleet.make_document(service="race", upstreams=[]))
    self.assertEqual(self.run_ctl("--author=mali", "apply", path)[0], 0)
    code, output = self.run_ctl("--revision=1", "apply", path)
    self.assertEqual(code, 3)
    self.assertIn("by mali", output)

  def test_zone_is_taken_out_and_in_and_unknown_values_are_refused(self):
    self.run_ctl("apply", self.write(self.fleet.make_document()))
    code, output = self.run_ctl("zone", "b", "out")
    self.assertEqual(code, 0, output)
    code, output = self.run_ctl("zone", "b", "in")
    self.assertEqual(code, 0, output)
    self.assertEqual(self.run_ctl("zone", "b", "away")[0], 2)
    self.assertEqual(self.run_ctl("zone", "unknown", "out")[0], 2)

  def test_nodes_lists_status_and_upstreams_succeeds(self):
    self.run_ctl("apply", self.write(self.fleet.make_document()))
    code, output = self.run_ctl("nodes")
    self.assertEqual(code, 0, output)
    self.assertIn("n0 a serving current", output)
    code, output = self.run_ctl("upstreams")
    self.assertEqual(code, 0, output)

  def test_follow_prints_document_of_service(self):
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

  def test_unknown_command_is_refused_with_usage(self):
    code, output = self.run_ctl("none")
    self.assertEqual(code, 2)
    self.assertIn("apply FILE", output)

  def test_change_is_accepted_when_store_replies_are_lost(self):
    self.fleet.set_store_faults(lose=0.5)
    try:
      path = self.write(self.fleet.make_document(service="lost", upstreams=[]))
      code, output = self.run_ctl("apply", path)
    finally:
      self.fleet.set_store_faults(lose=0.0)
    self.assertEqual(code, 0, output)


class SettingsFileTest(unittest.TestCase):
  """Validation of a node's settings file."""

  def test_invalid_settings_are_refused_with_file_name(self):
    binary = pathlib.Path(sys.executable).parent / "bronzefold"
    completed = subprocess.run(
      [str(binary), "--settings=/dev/null"], capture_output=True, text=True
    )
    self.assertEqual(completed.returncode, 2)
    self.assertIn("/dev/null", completed.stderr)


if __name__ == "__main__":
  unittest.main()
