"""The command ``bronzefold``, which runs one node."""

from __future__ import annotations

import ctypes
import functools
import gc
import logging
import pathlib
import sys

from absl import app
from absl import flags
import anyio

from bronzefold import signals
from bronzefold.core import exceptions
from bronzefold.core import settings
from bronzefold.node import node
from bronzefold.signals import receiver

_EXIT_BAD_SETTINGS = 2
_GC_THRESHOLDS = (20_000, 20, 50)
# ``M_MMAP_THRESHOLD`` of malloc.h, and the value for it.
_MMAP_THRESHOLD_OPTION = -3
_MMAP_THRESHOLD_BYTES = 64 * 1024

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


async def _run_until_signal(
  created_node: node.Node, signal_queue: signals.SignalQueue
) -> None:
  async with anyio.create_task_group() as tasks:
    tasks.start_soon(_stop_on_signal, created_node, signal_queue)
    await created_node.run()
    tasks.cancel_scope.cancel()


async def _stop_on_signal(
  created_node: node.Node, signal_queue: signals.SignalQueue
) -> None:
  """Stops a node on a signal; SIGHUP has no effect."""
  async for number in receiver.receive_signals(signal_queue):
    if number in signals.STOPPING:
      created_node.stop()


def _configure_logs() -> None:
  logging.basicConfig(
    stream=sys.stderr,
    level=_LOG_LEVEL.value.upper(),
    format="%(asctime)s %(levelname)s %(name)s %(message)s",
    force=True,
  )


def main(_: list[str], signal_queue: signals.SignalQueue) -> int:
  """Runs a node until a signal stops it.

  Args:
    signal_queue: Signals of this process.

  Returns:
    The exit code: 0 after a graceful stop, 2 for invalid settings.
  """
  _configure_logs()
  try:
    node_settings = settings.load_settings(pathlib.Path(_SETTINGS.value))
    if _CHECK.value:
      return 0
    if not signal_queue.has_stop:
      anyio.run(
        _run_node,
        node_settings,
        signal_queue,
        backend_options={"use_uvloop": True},
      )
  except exceptions.SettingsError as error:
    print(error.detail, file=sys.stderr)
    return _EXIT_BAD_SETTINGS
  signal_queue.ignore()
  return 0


def _tune_garbage_collector() -> None:
  """Makes full collections, which pause all requests, short and rare."""
  gc.collect()
  gc.freeze()
  gc.set_threshold(*_GC_THRESHOLDS)
  gc.enable()


def _return_large_blocks() -> None:
  """Makes malloc return the memory of large bodies as soon as it is free.

  glibc otherwise raises the size from which on it does so, and the gaps between
  bodies that grow and end add up. Other C libraries are left as they are.
  """
  set_option = getattr(ctypes.CDLL(None), "mallopt", None)
  if set_option is not None:
    set_option(_MMAP_THRESHOLD_OPTION, _MMAP_THRESHOLD_BYTES)


async def _run_node(
  node_settings: settings.Settings, signal_queue: signals.SignalQueue
) -> None:
  _tune_garbage_collector()
  _return_large_blocks()
  await _run_until_signal(node.Node(node_settings), signal_queue)


def run(signal_queue: signals.SignalQueue) -> None:
  """Runs the command.

  Args:
    signal_queue: Signals of this process, recorded since it started.
  """
  flags.mark_flag_as_required("settings")
  app.run(functools.partial(main, signal_queue=signal_queue))
