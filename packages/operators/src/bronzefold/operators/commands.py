"""The commands of ``bronzefoldctl`` and their registry."""

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


class ExitCode(enum.IntEnum):
  """Exit codes of the command line."""

  DONE = 0
  FAILED = 1
  INVALID = 2
  CONFLICT = 3
  NOT_IN_FORCE = 4


@attrs.frozen
class Context:
  """Options and resources that are passed to every command.

  Attributes:
    client: Client of the key-value store.
    author: Name that is recorded as the author of changes.
    revision: Revision that a change is based on, None for the latest one.
    timeout_s: Longest wait until a change is in force, in seconds; for
      ``follow`` the time to watch.
    output: File that the page of a report is written to, None for no page.
    write: Prints a line.
  """

  client: store.StoreClient
  author: str
  revision: int | None
  timeout_s: float
  output: str | None
  write: Callable[[str], None]


_Command = Callable[[Context, Sequence[str]], Awaitable[ExitCode]]


@attrs.frozen
class CommandEntry:
  """A registered command.

  Attributes:
    usage: Placeholders of its arguments, separated by spaces.
    summary: Description in the usage text.
    arity: Number of arguments.
    run: Coroutine function that runs the command.
  """

  usage: str
  summary: str
  arity: int
  run: _Command


COMMANDS: dict[str, CommandEntry] = {}
# Commands that do not connect to the store.
LOCAL_COMMANDS = frozenset(("check", "explain"))


def register_command(
  name: str, usage: str, summary: str
) -> Callable[[_Command], _Command]:
  """Returns a decorator that registers a command.

  Args:
    name: Name of the command.
    usage: Placeholders of its arguments, separated by spaces.
    summary: Description in the usage text.
  """

  def decorate(command: _Command) -> _Command:
    arity = len(usage.split())
    COMMANDS[name] = CommandEntry(usage, summary, arity, command)
    return command

  return decorate


@register_command("check", "FILE", "validate a document without applying it")
async def check(context: Context, arguments: Sequence[str]) -> ExitCode:
  """Validates the document in a file without writing it to the store."""
  document = _load_document(arguments[0])
  if document.is_error():
    context.write(document.error.detail)
    return ExitCode.INVALID
  context.write(f"{arguments[0]}: valid document of {document.ok.service}")
  return ExitCode.DONE


@register_command("explain", "REQUEST FILE", "trace a request in log lines")
async def explain(context: Context, arguments: Sequence[str]) -> ExitCode:
  """Traces a request in the log lines of a file, or of standard input."""
  request, path = arguments
  try:
    text = sys.stdin.read() if path == "-" else _read_text(path)
  except OSError as error:
    context.write(f"{path}: {error.strerror}")
    return ExitCode.INVALID
  lines = explanation.explain_request(request, text.splitlines())
  if not lines:
    context.write(f"no log line has request {request}")
    return ExitCode.FAILED
  for line in lines:
    context.write(line)
  return ExitCode.DONE


def _read_text(path: str) -> str:
  return pathlib.Path(path).read_text("utf-8", errors="replace")


@register_command("apply", "FILE", "put a document in force on every node")
async def apply(context: Context, arguments: Sequence[str]) -> ExitCode:
  """Writes a document to the store and waits until it is in force."""
  document = _load_document(arguments[0])
  if document.is_error():
    context.write(document.error.detail)
    return ExitCode.INVALID
  error_message = await _find_shared_upstream(context, document.ok)
  if error_message:
    context.write(error_message)
    return ExitCode.INVALID
  accepted = await changes.write_document(
    context.client,
    document.ok,
    context.author,
    clock.read_wall(),
    context.revision,
  )
  return await _await_change(
    context, accepted, "documents", document.ok.service
  )


@register_command("show", "SERVICE", "print the document of a service")
async def show(context: Context, arguments: Sequence[str]) -> ExitCode:
  """Prints a document and its revision in a form that ``apply`` accepts."""
  entry = await context.client.get(keys.DOCUMENT_PREFIX + arguments[0])
  if entry is None:
    context.write(f"service {arguments[0]!r} has no document")
    return ExitCode.FAILED
  record = documents.read_document_record(entry.value, entry.key)
  if record.is_error():
    context.write(record.error.detail)
    return ExitCode.INVALID
  context.write(
    f"// revision {entry.revision}, change {record.ok.operation} by "
    f"{record.ok.author} at {_format_time(record.ok.at)}"
  )
  context.write(documents.write_document(record.ok.document))
  return ExitCode.DONE


@register_command(
  "follow", "SERVICE", "print changes of a service as they occur"
)
async def follow(context: Context, arguments: Sequence[str]) -> ExitCode:
  """Prints changes of a service's document and of its rollouts."""
  labels = {
    keys.DOCUMENT_PREFIX + arguments[0]: "document",
    keys.ROLLOUT_PREFIX + arguments[0]: "version",
  }
  revision = 0
  deadline = clock.read_monotonic() + context.timeout_s
  while clock.read_monotonic() < deadline:
    listing = await context.client.watch(
      keys.SHARED_PREFIX, revision, defaults.WATCH_WAIT_S
    )
    revision = listing.revision
    for entry in listing.entries:
      if entry.key in labels:
        label = labels[entry.key]
        context.write(f"revision {entry.revision}: {label} {entry.value}")
  return ExitCode.DONE


@register_command(
  "zone", "ZONE in|out", "take an availability zone out of service or back in"
)
async def change_zone(context: Context, arguments: Sequence[str]) -> ExitCode:
  """Takes an availability zone out of service for all services, or back in."""
  zone, state = arguments
  if state not in documents.ZONE_STATES:
    context.write(
      f"zone state {state!r} is not one of {', '.join(documents.ZONE_STATES)}"
    )
    return ExitCode.INVALID
  if zone not in await _list_zones(context):
    context.write(f"availability zone {zone!r} is in no document")
    return ExitCode.INVALID
  accepted = await changes.write_zone(
    context.client, zone, state, context.author, clock.read_wall()
  )
  return await _await_change(context, accepted, "zones", zone)


@register_command("nodes", "", "print the status of every node")
async def show_nodes(context: Context, _: Sequence[str]) -> ExitCode:
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
  all_responded = all(view.status is not None for view in views)
  return ExitCode.DONE if views and all_responded else ExitCode.FAILED


@register_command("upstreams", "", "print the state of every upstream")
async def show_upstreams(context: Context, _: Sequence[str]) -> ExitCode:
  """Prints the upstreams that each node owns."""
  context.write("UPSTREAM SERVICE OWNER STATE LIMIT BUSY QUEUED SENT")
  for view in await fleet.read_nodes(context.client):
    for item in view.status["upstreams"] if view.status else ():
      context.write(
        f"{item['upstream']} {item['service']} {view.node} {item['state']} "
        f"{item['limit']} {item['in_progress']} {item['queued']} {item['sent']}"
      )
  return ExitCode.DONE


@register_command("moves", "", "print the progress of version rollouts")
async def show_rollouts(context: Context, _: Sequence[str]) -> ExitCode:
  """Prints the state of each rollout as each node applies it."""
  context.write("SERVICE VERSION STATE SHARE NODE REASON")
  for view in await fleet.read_nodes(context.client):
    for rollout in view.status["moves"] if view.status else ():
      context.write(
        f"{rollout['service']} {rollout['version']} {rollout['state']} "
        f"{rollout['share']:.3f} {view.node} {rollout['reason']}"
      )
  return ExitCode.DONE


@register_command(
  "report", "burn", "report the error budget burn of all objectives"
)
async def report_burn(context: Context, arguments: Sequence[str]) -> ExitCode:
  """Reports error budget burn as text, and with --output also as a page."""
  if arguments[0] != "burn":
    context.write(f"unknown report {arguments[0]!r}; available: burn")
    return ExitCode.INVALID
  # Imported here: only this command needs matplotlib, which imports slowly.
  from bronzefold.operators import report

  now_wall = clock.read_wall()
  services = []
  for document in await _list_documents(context):
    entry = await context.client.get(keys.BURN_PREFIX + document.service)
    history = burn.History()
    if entry is not None:
      history = msgspec.json.decode(entry.value, type=burn.History)
    services.append(report.assess_burn(document, history, now_wall))
  context.write(report.write_text(services))
  if context.output:
    report.write_page(services, pathlib.Path(context.output), now_wall)
    context.write(f"page written to {context.output}")
  return ExitCode.DONE


async def _list_documents(context: Context) -> list[documents.Document]:
  listing = await context.client.list_prefix(keys.DOCUMENT_PREFIX)
  records = [
    documents.read_document_record(e.value, e.key) for e in listing.entries
  ]
  return [record.ok.document for record in records if record.is_ok()]


def _load_document(
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
  """Returns an error message if another service lists one of the upstreams.

  Args:
    context: Context of the command.
    document: Document whose upstreams are compared by name and address.

  Returns:
    The message, or None if no upstream is shared.
  """
  others = [
    other
    for other in await _list_documents(context)
    if other.service != document.service
  ]
  services_by_identifier = {
    value: other.service
    for other in others
    for entry in other.upstreams
    for value in (entry.name, entry.address)
  }
  for entry in document.upstreams:
    for value in (entry.name, entry.address):
      if value in services_by_identifier:
        return (
          f"upstream {value!r} belongs to service "
          f"{services_by_identifier[value]!r}"
        )
  return None


async def _list_zones(context: Context) -> set[str]:
  listed = await _list_documents(context)
  return {zone for document in listed for zone in document.zones}


async def _await_change(
  context: Context,
  accepted: Result[changes.AcceptedChange, exceptions.StoreError],
  kind: str,
  name: str,
) -> ExitCode:
  """Prints whether a change was accepted; waits until every node applies it.

  Args:
    context: Context of the command.
    accepted: Result of the write.
    kind: "documents" or "zones".
    name: Name of the service or availability zone.

  Returns:
    The exit code of the command.
  """
  if accepted.is_error():
    error = accepted.error
    if isinstance(error, exceptions.ConflictError):
      context.write(f"refused: {changes.describe_conflict(error)}")
      return ExitCode.CONFLICT
    context.write(f"not known whether accepted: {error.detail}")
    return ExitCode.FAILED
  revision = accepted.ok.revision
  context.write(f"accepted: {kind} {name}, revision {revision}")
  lagging = await fleet.await_in_force(
    context.client, kind, name, revision, context.timeout_s
  )
  if lagging:
    names = ", ".join(view.node for view in lagging)
    context.write(f"not in force after {context.timeout_s} s on: {names}")
    return ExitCode.NOT_IN_FORCE
  context.write("in force on every node")
  return ExitCode.DONE


def _format_time(at: float) -> str:
  moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
  return moment.isoformat(timespec="seconds")
