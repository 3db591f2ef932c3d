"""Commands of ``bronzefoldctl``, in a registry."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import datetime
import enum
import pathlib
import sys

import attrs
from expression import Result
import msgspec

from bronzefold import store
from bronzefold.core import burn
from bronzefold.core import clock
from bronzefold.core import defaults
from bronzefold.core import documents
from bronzefold.core import exceptions
from bronzefold.operators import changes
from bronzefold.operators import explanation
from bronzefold.operators import fleet
from bronzefold.store import keys


class Exit(enum.IntEnum):
  """Exit codes."""

  DONE = 0
  FAILED = 1
  INVALID = 2
  CONFLICT = 3
  NOT_IN_FORCE = 4


@attrs.frozen
class Context:
  """What every command gets.

  Attributes:
    client: The platform.
    author: Who runs the command.
    revision: Revision that a change is based on, None for the present one.
    timeout_s: Longest wait for a change to be in force.
    output: File to write to, None for standard output.
    write: Prints a line.
  """

  client: store.StoreClient
  author: str
  revision: int | None
  timeout_s: float
  output: str | None
  write: Callable[[str], None]


_Command = Callable[[Context, Sequence[str]], Awaitable[Exit]]


@attrs.frozen
class CommandEntry:
  """A registered command.

  Attributes:
    usage: Its arguments.
    summary: What it does.
    arity: Count of its arguments.
    run: The command.
  """

  usage: str
  summary: str
  arity: int
  run: _Command


COMMANDS: dict[str, CommandEntry] = {}
LOCAL_COMMANDS = frozenset(("check", "explain"))


def register_command(
  name: str, usage: str, summary: str
) -> Callable[[_Command], _Command]:
  """Registers a command under its name."""

  def decorate(command: _Command) -> _Command:
    arity = len(usage.split())
    COMMANDS[name] = CommandEntry(usage, summary, arity, command)
    return command

  return decorate


@register_command("check", "FILE", "check a document without changing anything")
async def check(context: Context, arguments: Sequence[str]) -> Exit:
  """Checks a document."""
  document = _load(arguments[0])
  if document.is_error():
    context.write(document.error.detail)
    return Exit.INVALID
  context.write(f"{arguments[0]}: valid document of {document.ok.service}")
  return Exit.DONE


@register_command("explain", "REQUEST FILE", "tell a request's story from logs")
async def explain(context: Context, arguments: Sequence[str]) -> Exit:
  """Explains a request from log lines of a file, or of standard input."""
  request, path = arguments
  try:
    text = sys.stdin.read() if path == "-" else _read_text(path)
  except OSError as error:
    context.write(f"{path}: {error.strerror}")
    return Exit.INVALID
  story = explanation.explain_request(request, text.splitlines())
  if not story:
    context.write(f"no line names {request}")
    return Exit.FAILED
  for line in story:
    context.write(line)
  return Exit.DONE


def _read_text(path: str) -> str:
  return pathlib.Path(path).read_text("utf-8", errors="replace")


@register_command("apply", "FILE", "put a document in force on every node")
async def apply(context: Context, arguments: Sequence[str]) -> Exit:
  """Applies a document and waits until it is in force."""
  document = _load(arguments[0])
  if document.is_error():
    context.write(document.error.detail)
    return Exit.INVALID
  shared = await _find_shared_upstream(context, document.ok)
  if shared:
    context.write(shared)
    return Exit.INVALID
  accepted = await changes.write_document(
    context.client,
    document.ok,
    context.author,
    clock.read_wall(),
    context.revision,
  )
  return await _finish_change(
    context, accepted, "documents", document.ok.service
  )


@register_command("show", "SERVICE", "print the document of a service")
async def show(context: Context, arguments: Sequence[str]) -> Exit:
  """Prints a document with its revision, in a form that can be applied."""
  entry = await context.client.get(keys.DOCUMENT_PREFIX + arguments[0])
  if entry is None:
    context.write(f"service {arguments[0]!r} has no document")
    return Exit.FAILED
  record = documents.read_document_record(entry.value, entry.key)
  if record.is_error():
    context.write(record.error.detail)
    return Exit.INVALID
  context.write(
    f"// revision {entry.revision}, change {record.ok.operation} by "
    f"{record.ok.author} at {_format_time(record.ok.at)}"
  )
  context.write(documents.write_document(record.ok.document))
  return Exit.DONE


@register_command(
  "follow", "SERVICE", "print changes of a service as they come"
)
async def follow(context: Context, arguments: Sequence[str]) -> Exit:
  """Follows a service's document and the moves of its versions."""
  wanted = {
    keys.DOCUMENT_PREFIX + arguments[0]: "document",
    keys.ROLLOUT_PREFIX + arguments[0]: "version",
  }
  revision = 0
  until = clock.read_monotonic() + context.timeout_s
  while clock.read_monotonic() < until:
    listing = await context.client.watch(
      keys.SHARED_PREFIX, revision, defaults.WATCH_WAIT_S
    )
    revision = listing.revision
    for entry in listing.entries:
      if entry.key in wanted:
        label = wanted[entry.key]
        context.write(f"revision {entry.revision}: {label} {entry.value}")
  return Exit.DONE


@register_command("zone", "ZONE in|out", "take an availability zone out or in")
async def change_zone(context: Context, arguments: Sequence[str]) -> Exit:
  """Takes an availability zone out for all services, or back in."""
  zone, state = arguments
  if state not in documents.ZONE_STATES:
    context.write(f"{state!r} is not one of {', '.join(documents.ZONE_STATES)}")
    return Exit.INVALID
  if zone not in await _list_zones(context):
    context.write(f"no document names availability zone {zone!r}")
    return Exit.INVALID
  accepted = await changes.write_zone(
    context.client, zone, state, context.author, clock.read_wall()
  )
  return await _finish_change(context, accepted, "zones", zone)


@register_command("nodes", "", "print the status of every node")
async def show_nodes(context: Context, _: Sequence[str]) -> Exit:
  """Prints the status of every node."""
  context.write("NODE ZONE STATE CONTACT REVISION PEERS UPSTREAMS REFUSED")
  views = await fleet.read_nodes(context.client)
  for view in views:
    status = view.status
    if status is None:
      context.write(f"{view.node} ? no answer at {view.address}")
      continue
    context.write(
      f"{view.node} {status['zone']} {status['state']} {status['contact']} "
      f"{status['config_revision']} {len(status['peers'])} "
      f"{len(status['upstreams'])} {status['refused']}"
    )
  answered = all(view.status is not None for view in views)
  return Exit.DONE if views and answered else Exit.FAILED


@register_command("upstreams", "", "print the state of every upstream")
async def show_upstreams(context: Context, _: Sequence[str]) -> Exit:
  """Prints the upstreams with the nodes that own them."""
  context.write("UPSTREAM SERVICE OWNER STATE LIMIT BUSY QUEUED SENT")
  for view in await fleet.read_nodes(context.client):
    for held in view.status["upstreams"] if view.status else ():
      context.write(
        f"{held['upstream']} {held['service']} {view.node} {held['state']} "
        f"{held['limit']} {held['in_progress']} {held['queued']} {held['sent']}"
      )
  return Exit.DONE


@register_command("moves", "", "print how far the moves of versions have come")
async def show_moves(context: Context, _: Sequence[str]) -> Exit:
  """Prints the moves of versions as each node acts on them."""
  context.write("SERVICE VERSION STATE SHARE NODE REASON")
  for view in await fleet.read_nodes(context.client):
    for move in view.status["moves"] if view.status else ():
      context.write(
        f"{move['service']} {move['version']} {move['state']} "
        f"{move['share']:.3f} {view.node} {move['reason']}"
      )
  return Exit.DONE


@register_command("report", "burn", "report the burn of all objectives")
async def report_burn(context: Context, arguments: Sequence[str]) -> Exit:
  """Reports the service-level burn, as text and with --output as a page."""
  if arguments[0] != "burn":
    context.write(f"no report {arguments[0]!r}; there is: burn")
    return Exit.INVALID
  # Plotting takes long to import and only this command needs it.
  from bronzefold.operators import report

  now_wall = clock.read_wall()
  services = []
  for document in await _list_documents(context):
    entry = await context.client.get(keys.BURN_PREFIX + document.service)
    history = burn.History()
    if entry is not None:
      history = msgspec.json.decode(entry.value, type=burn.History)
    services.append(report.assess(document, history, now_wall))
  context.write(report.write_text(services))
  if context.output:
    report.write_page(services, pathlib.Path(context.output), now_wall)
    context.write(f"page written to {context.output}")
  return Exit.DONE


async def _list_documents(context: Context) -> list[documents.Document]:
  listing = await context.client.list_prefix(keys.DOCUMENT_PREFIX)
  records = [
    documents.read_document_record(e.value, e.key) for e in listing.entries
  ]
  return [record.ok.document for record in records if record.is_ok()]


def _load(
  path: str,
) -> Result[documents.Document, exceptions.DocumentError]:
  try:
    text = pathlib.Path(path).read_text("utf-8")
  except (OSError, UnicodeDecodeError) as error:
    raise exceptions.DocumentError(f"{path}: {error}") from error
  return documents.read_document(text, path)


async def _find_shared_upstream(
  context: Context, document: documents.Document
) -> str | None:
  """Finds an upstream that the document of another service names as well."""
  others = [
    other
    for other in await _list_documents(context)
    if other.service != document.service
  ]
  taken = {
    value: other.service
    for other in others
    for entry in other.upstreams
    for value in (entry.name, entry.address)
  }
  for entry in document.upstreams:
    for value in (entry.name, entry.address):
      if value in taken:
        return f"upstream {value!r} belongs to service {taken[value]!r}"
  return None


async def _list_zones(context: Context) -> set[str]:
  found = await _list_documents(context)
  return {zone for document in found for zone in document.zones}


async def _finish_change(
  context: Context,
  accepted: Result[changes.Accepted, exceptions.StoreError],
  kind: str,
  name: str,
) -> Exit:
  """Tells whether a change was accepted and is in force everywhere."""
  if accepted.is_error():
    error = accepted.error
    if isinstance(error, exceptions.ConflictError):
      context.write(f"refused: {changes.describe_conflict(error)}")
      return Exit.CONFLICT
    context.write(f"not known whether accepted: {error.detail}")
    return Exit.FAILED
  revision = accepted.ok.revision
  context.write(f"accepted: {kind} {name}, revision {revision}")
  behind = await fleet.await_in_force(
    context.client, kind, name, revision, context.timeout_s
  )
  if behind:
    names = ", ".join(view.node for view in behind)
    context.write(f"not in force after {context.timeout_s} s on: {names}")
    return Exit.NOT_IN_FORCE
  context.write("in force on every node")
  return Exit.DONE


def _format_time(at: float) -> str:
  moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
  return moment.isoformat(timespec="seconds")
