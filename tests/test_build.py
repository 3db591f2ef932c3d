"""The build of the deploy file, beside processes of an earlier build."""

import importlib.util
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import unittest

from tests import fleet

_SPECIFICATION = importlib.util.spec_from_file_location(
  "build", fleet.ROOT / "deploy" / "build.py"
)
build = importlib.util.module_from_spec(_SPECIFICATION)
_SPECIFICATION.loader.exec_module(build)

IMPORT = (
  "import bronzefold.core.clock, bronzefold.core.memory, bronzefold.signals"
)


class BuildTest(unittest.TestCase):
  """A copy of the sources, built into a folder of its own."""

  def setUp(self):
    directory = tempfile.TemporaryDirectory(prefix="bronzefold-")
    self.root = pathlib.Path(self.enterContext(directory))
    for package in build.PACKAGES:
      shutil.copytree(fleet.ROOT / package / "src", self.root / package / "src")
    self.target = self.root / "target" / "deps"
    self.target.mkdir(parents=True)

  def test_build_without_a_change_replaces_nothing(self):
    """Guards against starts that find no module while another build runs."""
    self.assertTrue(build.install_modules(self.root, self.target))
    before = (self.target / "bronzefold").stat().st_ino
    self.assertFalse(build.install_modules(self.root, self.target))
    self.assertEqual((self.target / "bronzefold").stat().st_ino, before)

  def test_changed_added_and_removed_modules_are_replaced(self):
    build.install_modules(self.root, self.target)
    core = self.root / "packages/core/src/bronzefold/core"
    installed = self.target / "bronzefold" / "core"
    (core / "added.py").write_text("VALUE = 1\n")
    self.assertTrue(build.install_modules(self.root, self.target))
    self.assertTrue((installed / "added.py").exists())
    (core / "added.py").write_text("VALUE = 2\n")
    self.assertTrue(build.install_modules(self.root, self.target))
    self.assertIn("2", (installed / "added.py").read_text())
    (core / "added.py").unlink()
    self.assertTrue(build.install_modules(self.root, self.target))
    self.assertFalse((installed / "added.py").exists())
    self.assertEqual(
      sorted(path.name for path in self.target.parent.iterdir()), ["deps"]
    )

  def test_processes_start_while_builds_run(self):
    build.install_modules(self.root, self.target)
    is_over = threading.Event()

    def build_on():
      while not is_over.is_set():
        build.install_modules(self.root, self.target)

    thread = threading.Thread(target=build_on)
    thread.start()
    try:
      codes = [
        subprocess.run(
          [
            sys.executable,
            "-I",
            "-c",
            f"import sys; sys.path.insert(0, {str(self.target)!r}); {IMPORT}",
          ],
          check=False,
        ).returncode
        for _ in range(15)
      ]
    finally:
      is_over.set()
      thread.join()
    self.assertEqual(codes, [0] * 15)


if __name__ == "__main__":
  unittest.main()
