"""Priority queue of the requests to one upstream."""

from __future__ import annotations

import heapq
import itertools

import anyio
import attrs
from expression import Error
from expression import Result

from bronzefold.core import exceptions
from bronzefold.core.clock import Seconds
from bronzefold.upstreams import connection


@attrs.define(eq=False)
class Job:
  """A queued or running request.

  Attributes:
    exchange: The request to send.
    deadline: Monotonic time after which the response is no longer awaited.
    priority: Jobs with a lower number run first.
    idempotent: False for an action.
    sent_at: Monotonic time at which the request was sent, None before that.
    outcome: The outcome, None until it is known.
    scope: Scope in which the request runs; cancelling it interrupts the
      exchange.
  """

  exchange: connection.Exchange
  deadline: Seconds
  priority: int = 1
  idempotent: bool = True
  sent_at: Seconds | None = None
  outcome: Result[connection.Response, exceptions.BronzefoldError] | None = None
  scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
  _done: anyio.Event = attrs.field(factory=anyio.Event)

  def finish(
    self, outcome: Result[connection.Response, exceptions.BronzefoldError]
  ) -> None:
    """Sets the outcome; has no effect on a finished job.

    Args:
      outcome: The response, or the error that ended the job.
    """
    if self.outcome is None:
      self.outcome = outcome
      self._done.set()

  async def wait(
    self,
  ) -> Result[connection.Response, exceptions.BronzefoldError]:
    """Waits until the job is finished and returns its outcome."""
    await self._done.wait()
    assert self.outcome is not None
    return self.outcome


class DeadlineQueue:
  """Jobs ordered by priority, then by deadline."""

  def __init__(self) -> None:
    self._heap: list[tuple[int, Seconds, int, Job]] = []
    self._sequence = itertools.count()

  def __len__(self) -> int:
    return len(self._heap)

  def push(self, job: Job) -> None:
    """Adds a job."""
    entry = (job.priority, job.deadline, next(self._sequence), job)
    heapq.heappush(self._heap, entry)

  def pop(self, now: Seconds) -> Job | None:
    """Removes and returns the most urgent job that is not finished.

    Jobs past their deadline finish with ``DeadlineExpiredError``.

    Args:
      now: Monotonic time; jobs whose deadline is not later have expired.

    Returns:
      The job, None if no unexpired job is queued.
    """
    while self._heap:
      job = heapq.heappop(self._heap)[-1]
      if job.outcome is not None:
        continue
      if job.deadline <= now:
        expired = exceptions.DeadlineExpiredError(
          "deadline passed in the queue of the upstream"
        )
        job.finish(Error(expired))
        continue
      return job
    return None

  def count_ahead(self, priority: int, deadline: Seconds) -> int:
    """Counts the queued jobs that are ordered before a new job.

    Finished jobs are counted until they are popped.

    Args:
      priority: Priority of the new job.
      deadline: Deadline of the new job, monotonic time.

    Returns:
      The count; jobs of equal priority and deadline are included.
    """
    return sum(entry[:2] <= (priority, deadline) for entry in self._heap)

  def refuse_all(self, error: exceptions.NotRunError) -> None:
    """Removes all jobs and finishes them with an error.

    Args:
      error: The reason why the jobs were not run.
    """
    refused_jobs = [entry[-1] for entry in self._heap]
    self._heap.clear()
    for job in refused_jobs:
      job.finish(Error(error))
