"""Errors of bronzefold, in one shallow hierarchy.

Functions whose failure is an ordinary outcome return these errors in an
``expression.Result``; other functions raise them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar
from typing import TypeVar

_ErrorType = TypeVar("_ErrorType", bound="type[BronzefoldError]")

_ERRORS_BY_CODE: dict[str, type[BronzefoldError]] = {}


class BronzefoldError(Exception):
  """Base class of every bronzefold error.

  Attributes:
    code: Name of the error on the wire.
    status: HTTP status that callers receive.
    detail: Explanation for operators and developers.
  """

  code: ClassVar[str] = "internal"
  status: ClassVar[int] = 500

  def __init__(self, detail: str = "") -> None:
    super().__init__(detail)
    self.detail = detail


def register_error(
  code: str, status: int
) -> Callable[[_ErrorType], _ErrorType]:
  """Returns a decorator that registers an error class under its wire code.

  Args:
    code: Unique name of the error.
    status: HTTP status that callers receive.

  Returns:
    A class decorator.
  """

  def decorate(error_type: _ErrorType) -> _ErrorType:
    assert code not in _ERRORS_BY_CODE, code
    error_type.code = code
    error_type.status = status
    _ERRORS_BY_CODE[code] = error_type
    return error_type

  return decorate


def restore_error(code: str, detail: str) -> BronzefoldError:
  """Creates an error from the code and detail that another process sent.

  Args:
    code: The error's code.
    detail: The error's explanation.

  Returns:
    An error of the registered class. An unknown code gives
    ``OutcomeUnknownError``, the class with the weakest guarantee.
  """
  return _ERRORS_BY_CODE.get(code, OutcomeUnknownError)(detail)


class NotRunError(BronzefoldError):
  """The request certainly did not run."""


class OutcomeUnknownError(BronzefoldError):
  """The request may or may not have run."""


register_error("not_run", 503)(NotRunError)
register_error("unknown", 504)(OutcomeUnknownError)


@register_error("overloaded", 503)
class OverloadedError(NotRunError):
  """The request would end too late, or too many are in progress."""


@register_error("not_owner", 503)
class NotOwnerError(NotRunError):
  """The addressed node does not own the upstream."""


@register_error("upstream_refused", 503)
class UpstreamRefusedError(NotRunError):
  """The upstream refused the request before running it."""


@register_error("upstream_draining", 503)
class UpstreamDrainingError(UpstreamRefusedError):
  """The upstream is draining and accepts no new requests."""


@register_error("connect_failed", 503)
class ConnectFailedError(NotRunError):
  """No connection to the upstream or its owner could be opened."""


@register_error("connect_refused", 503)
class ConnectRefusedError(ConnectFailedError):
  """Nothing listens at the address."""


@register_error("no_upstream", 503)
class NoUpstreamError(NotRunError):
  """No upstream is eligible for the request."""


@register_error("deadline_expired", 504)
class DeadlineExpiredError(NotRunError):
  """The deadline passed before the request was sent."""


@register_error("not_ready", 503)
class NotReadyError(NotRunError):
  """The node has no current configuration."""


@register_error("stopping", 503)
class StoppingError(NotRunError):
  """The node is shutting down."""


@register_error("claims_unavailable", 503)
class ClaimsUnavailableError(NotRunError):
  """The store cannot record the idempotency key."""


@register_error("connection_lost", 504)
class ConnectionLostError(OutcomeUnknownError):
  """The connection was lost after the request was sent."""


@register_error("upstream_crashed", 504)
class UpstreamCrashedError(ConnectionLostError):
  """The upstream ended before it had answered the request."""


@register_error("timed_out", 504)
class TimedOutError(OutcomeUnknownError):
  """No reply came before the deadline."""


@register_error("in_progress", 409)
class InProgressError(OutcomeUnknownError):
  """Another attempt with the same idempotency key has not ended."""


@register_error("malformed_reply", 502)
class MalformedReplyError(OutcomeUnknownError):
  """The upstream's reply is not a valid answer to the request."""


@register_error("memory_exhausted", 502)
class MemoryExhaustedError(OutcomeUnknownError):
  """The response was given up, as all responses took too much memory."""


@register_error("upstream_failed", 502)
class UpstreamFailedError(OutcomeUnknownError):
  """The upstream answered with a server error."""


@register_error("quarantined", 503)
class QuarantinedError(NotRunError):
  """Upstreams crashed under the request; it is rejected for some time."""


@register_error("snapshot_gone", 503)
class SnapshotGoneError(NotRunError):
  """The upstream no longer serves the snapshot."""


@register_error("incomplete", 503)
class IncompleteError(BronzefoldError):
  """The caller required a complete answer and only a part was found."""


@register_error("bad_request", 400)
class BadRequestError(NotRunError):
  """The request is malformed."""


@register_error("too_large", 413)
class TooLargeError(BadRequestError):
  """The request's body exceeds the size limit."""


@register_error("unknown_service", 404)
class UnknownServiceError(BadRequestError):
  """No document describes the service."""


@register_error("unknown_route", 404)
class UnknownRouteError(BadRequestError):
  """The service's document does not name the route."""


@register_error("key_reused", 422)
class KeyReusedError(BadRequestError):
  """The idempotency key was used before with another route or body."""


class SettingsError(BronzefoldError):
  """A settings file is invalid."""


class DocumentError(BronzefoldError):
  """A service document is invalid."""


class StoreError(BronzefoldError):
  """The store did not execute a call, or its reply was lost."""


class StoreUnavailableError(StoreError):
  """The store cannot be reached; a write may have taken effect."""


class ConflictError(StoreError):
  """A compare-and-swap found another revision than it expected.

  Attributes:
    current_revision: Revision found, 0 if the key does not exist.
    current_value: Value found, empty if the key does not exist.
  """

  def __init__(
    self, detail: str, current_revision: int = 0, current_value: bytes = b""
  ) -> None:
    super().__init__(detail)
    self.current_revision = current_revision
    self.current_value = current_value


class LeaseLapsedError(StoreError):
  """The lease no longer exists."""


class HistoryGoneError(StoreError):
  """The store no longer has the changes after a revision."""


class PeerFrameError(BronzefoldError):
  """A frame is malformed or not from a node of this fleet."""


register_error("settings", 500)(SettingsError)
register_error("document", 400)(DocumentError)
register_error("platform", 503)(StoreError)
register_error("platform_unavailable", 503)(StoreUnavailableError)
register_error("conflict", 409)(ConflictError)
register_error("lease_lapsed", 503)(LeaseLapsedError)
register_error("history_gone", 503)(HistoryGoneError)
register_error("peer_frame", 400)(PeerFrameError)
