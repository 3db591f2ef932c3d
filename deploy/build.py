"""Builds the program into target/deps.

Processes of an earlier build may be starting from there, and other builds may
run at the same time: modules are replaced only if they differ, and then as a
whole.
"""

from __future__ import annotations

import compileall
import fcntl
import filecmp
import pathlib
import shutil
import subprocess
import sys
import tempfile

PACKAGES = (
  "packages/core",
  "packages/store",
  "packages/upstreams",
  "packages/peers",
  "packages/gateway",
  "platform",
)
REQUIREMENTS = "deploy/requirements.txt"
_NAMESPACE = "bronzefold"


def install_dependencies(root: pathlib.Path, target: pathlib.Path) -> None:
  """Installs the libraries unless that was done since they were changed.

  Args:
    root: Root of the repository.
    target: Folder to install to.
  """
  requirements = root / REQUIREMENTS
  marker = target / ".installed"
  if marker.exists() and marker.stat().st_mtime > requirements.stat().st_mtime:
    return
  command = [sys.executable, "-m", "pip", "install", "--quiet", "--upgrade"]
  subprocess.run(
    [*command, "--target", target, "--requirement", requirements], check=True
  )
  marker.touch()


def install_modules(root: pathlib.Path, target: pathlib.Path) -> bool:
  """Installs the program's modules unless they are there already.

  Args:
    root: Root of the repository.
    target: Folder to install to.

  Returns:
    True if modules were replaced.
  """
  installed = target / _NAMESPACE
  with tempfile.TemporaryDirectory(dir=target.parent) as name:
    folder = pathlib.Path(name)
    built = folder / _NAMESPACE
    for package in PACKAGES:
      source = root / package / "src" / _NAMESPACE
      ignored = shutil.ignore_patterns("__pycache__")
      shutil.copytree(source, built, ignore=ignored, dirs_exist_ok=True)
    if installed.exists() and _has_same_modules(built, installed):
      return False
    compileall.compile_dir(
      built, quiet=1, stripdir=folder, prependdir=str(target)
    )
    if installed.exists():
      installed.rename(folder / "replaced")
    built.rename(installed)
  return True


def _has_same_modules(built: pathlib.Path, installed: pathlib.Path) -> bool:
  """Returns whether two folders have the same sources."""
  names = [
    sorted(path.relative_to(folder) for path in folder.rglob("*.py"))
    for folder in (built, installed)
  ]
  if names[0] != names[1]:
    return False
  _, different, failed = filecmp.cmpfiles(
    built, installed, list(map(str, names[0])), shallow=False
  )
  return not different and not failed


def main() -> None:
  """Builds the program of the repository that this file is in."""
  root = pathlib.Path(__file__).resolve().parent.parent
  target = root / "target" / "deps"
  target.mkdir(parents=True, exist_ok=True)
  with (target.parent / "build.lock").open("w") as lock:
    fcntl.flock(lock, fcntl.LOCK_EX)
    install_dependencies(root, target)
    install_modules(root, target)


if __name__ == "__main__":
  main()
