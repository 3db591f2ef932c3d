"""Queue of requests to one upstream, most urgent first."""

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
  """A request waiting for its turn, or running.

  Attributes:
    exchange: What to send.
    deadline: Monotonic time after which nobody waits for the reply.
    priority: Jobs of a lower number run first.
    idempotent: False for an action.
    sent_at: Monotonic time of the sending, None before it.
    outcome: The outcome, None until it is known.
  """

  exchange: connection.Exchange
  deadline: Seconds
  priority: int = 1
  idempotent: bool = True
  sent_at: Seconds | None = None
  outcome: Result[connection.Reply, exceptions.BronzefoldError] | None = None
  scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
  _done: anyio.Event = attrs.field(factory=anyio.Event)

  def finish(
    self, outcome: Result[connection.Reply, exceptions.BronzefoldError]
  ) -> None:
    """Sets the outcome, once."""
    if self.outcome is None:
      self.outcome = outcome
      self._done.set()

  async def wait(
    self,
  ) -> Result[connection.Reply, exceptions.BronzefoldError]:
    """Waits for the outcome."""
    await self._done.wait()
    assert self.outcome is not None
    return self.outcome


class DeadlineQueue:
  """Jobs ordered by priority, then by deadline."""

  def __init__(self) -> None:
    self._heap: list[tuple[int, Seconds, int, Job]] = []
    self._numbers = itertools.count()

  def __len__(self) -> int:
    return len(self._heap)

  def push(self, job: Job) -> None:
    """Adds a job."""
    item = (job.priority, job.deadline, next(self._numbers), job)
    heapq.heappush(self._heap, item)

  def pop(self, now: Seconds) -> Job | None:
    """Removes the most urgent job that somebody still waits for.

    Jobs past their deadline are finished as not run.

    Args:
      now: The monotonic time.

    Returns:
      The job, None when the queue is empty.
    """
    while self._heap:
      job = heapq.heappop(self._heap)[-1]
      if job.outcome is not None:
        continue
      if job.deadline <= now:
        expired = exceptions.DeadlineExpiredError("expired in the queue")
        job.finish(Error(expired))
        continue
      return job
    return None

  def count_ahead(self, priority: int, deadline: Seconds) -> int:
    """Counts the jobs that would run before one of this urgency."""
    return sum(item[:2] <= (priority, deadline) for item in self._heap)

  def refuse_all(self, error: exceptions.NotRunError) -> None:
    """Finishes every queued job with an error that says it did not run."""
    jobs = [item[-1] for item in self._heap]
    self._heap.clear()
    for job in jobs:
      job.finish(Error(error))
