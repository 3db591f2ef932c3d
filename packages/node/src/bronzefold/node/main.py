"""The command ``bronzefold``, which runs one node."""

from __future__ import annotations

import gc
import logging
import pathlib
import signal
import sys

from absl import app
from absl import flags
import anyio

from bronzefold.core import exceptions
from bronzefold.core import settings
from bronzefold.node import node

_EXIT_BAD_SETTINGS = 2
_GC_THRESHOLDS = (20_000, 20, 50)

_SETTINGS = flags.DEFINE_string(
  "settings", None, "File with the node's settings, JSON with comments."
)
_LOG_LEVEL = flags.DEFINE_enum(
  "log_level",
  "info",
  ["debug", "info", "warning", "error"],
  "Lowest level of the log messages that are written.",
)
_CHECK = flags.DEFINE_bool(
  "check", False, "Check the settings and exit without running."
)


async def _run_until_signal(created_node: node.Node) -> None:
  async with anyio.create_task_group() as tasks:
    tasks.start_soon(_stop_on_signal, created_node)
    await created_node.run()
    tasks.cancel_scope.cancel()


async def _stop_on_signal(created_node: node.Node) -> None:
  with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
    async for _ in received:
      created_node.stop()


def _configure_logs() -> None:
  logging.basicConfig(
    stream=sys.stderr,
    level=_LOG_LEVEL.value.upper(),
    format="%(asctime)s %(levelname)s %(name)s %(message)s",
    force=True,
  )


def main(_: list[str]) -> int:
  """Runs a node until a signal stops it.

  Returns:
    The exit code: 0 after a graceful stop, 2 for invalid settings.
  """
  _configure_logs()
  try:
    node_settings = settings.load_settings(pathlib.Path(_SETTINGS.value))
    if _CHECK.value:
      return 0
    anyio.run(_run_node, node_settings, backend_options={"use_uvloop": True})
  except exceptions.SettingsError as error:
    print(error.detail, file=sys.stderr)
    return _EXIT_BAD_SETTINGS
  return 0


def _tune_garbage_collector() -> None:
  """Makes full collections, which pause all requests, short and rare."""
  gc.collect()
  gc.freeze()
  gc.set_threshold(*_GC_THRESHOLDS)


async def _run_node(node_settings: settings.Settings) -> None:
  _tune_garbage_collector()
  await _run_until_signal(node.Node(node_settings))


def run() -> None:
  """Entry point of the command."""
  flags.mark_flag_as_required("settings")
  app.run(main)
