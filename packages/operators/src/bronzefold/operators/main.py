"""Command ``bronzefoldctl``: the operators' command line."""

from __future__ import annotations

from collections.abc import Sequence
import getpass
import sys

from absl import app
from absl import flags
import anyio

from bronzefold import store
from bronzefold.core import exceptions
from bronzefold.operators import commands

_PLATFORM = flags.DEFINE_list(
  "platform", [], "Comma-separated IP:port addresses of the store's servers."
)
_AUTHOR = flags.DEFINE_string(
  "author", None, "Author of the change; the login name by default."
)
_REVISION = flags.DEFINE_integer(
  "revision",
  None,
  "Revision that the change is based on; the latest by default.",
)
_TIMEOUT_S = flags.DEFINE_float(
  "timeout_s",
  13.0,
  "Longest wait until a change is in force, in seconds; duration of follow.",
)
_OUTPUT = flags.DEFINE_string(
  "output", None, "File that the report's page is written to."
)


def make_usage() -> str:
  """Returns the usage text, with a line for each command."""
  lines = [
    f"  {name} {entry.usage}".ljust(28) + entry.summary
    for name, entry in commands.COMMANDS.items()
  ]
  return "bronzefoldctl --platform=IP:PORT COMMAND ...\n" + "\n".join(lines)


async def _run_command(name: str, arguments: Sequence[str]) -> int:
  client = store.StoreClient(_PLATFORM.value)
  context = commands.Context(
    client=client,
    author=_AUTHOR.value or getpass.getuser(),
    revision=_REVISION.value,
    timeout_s=_TIMEOUT_S.value,
    output=_OUTPUT.value,
    write=lambda line: print(line, flush=True),
  )
  try:
    return await commands.COMMANDS[name].run(context, arguments)
  except exceptions.DocumentError as error:
    print(error.detail, file=sys.stderr)
    return commands.ExitCode.INVALID
  except exceptions.StoreError as error:
    print(f"platform: {error.detail}", file=sys.stderr)
    return commands.ExitCode.FAILED
  finally:
    await client.close()


def main(argv: list[str]) -> int:
  """Runs a command.

  Args:
    argv: Name of the program, name of the command and its arguments.

  Returns:
    The exit code; see ``commands.ExitCode``.
  """
  name, arguments = (argv[1] if len(argv) > 1 else ""), argv[2:]
  entry = commands.COMMANDS.get(name)
  if entry is None or len(arguments) != entry.arity:
    print(make_usage(), file=sys.stderr)
    return commands.ExitCode.INVALID
  if not _PLATFORM.value and name not in commands.LOCAL_COMMANDS:
    print("--platform is missing", file=sys.stderr)
    return commands.ExitCode.INVALID
  return anyio.run(_run_command, name, arguments)


def run() -> None:
  """Runs the command line; entry point of the installed script."""
  app.run(main)
