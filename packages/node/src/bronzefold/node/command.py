"""Entry point of the command ``bronzefold``."""
# ruff: noqa: E402 (signals are captured before the other imports)

from __future__ import annotations

from bronzefold import signals

_SIGNALS = signals.capture_signals()

import gc

gc.disable()  # until all modules are imported, whose objects stay

from bronzefold.node import main


def run() -> None:
  """Runs a node until a signal stops it."""
  main.run(_SIGNALS)
