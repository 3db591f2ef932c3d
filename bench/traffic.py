"""Open-loop traffic: requests start by a seeded schedule, not after replies."""

from __future__ import annotations

from collections.abc import Sequence
import contextlib
import json
import random
import time

import anyio
import attrs
from hdrh import histogram
import httpcore

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_REPLY_TIMEOUT_S = 20.0
_MAX_CONNECTIONS = 100


@attrs.frozen
class Sample:
  """Result of one request.

  Attributes:
    scheduled_at: Scheduled start, seconds since the Unix epoch.
    took_s: Seconds from ``scheduled_at`` to the end of the response.
    status: HTTP status, 0 if the connection failed or no response came.
    outcome: "complete", "partial", "not_run" or "failed".
    coverage: Share of the records that the response covers.
    hedges: Number of hedges sent for the request.
    retries: Number of retries sent for the request.
  """

  scheduled_at: float
  took_s: float
  status: int
  outcome: str
  coverage: float
  hedges: int
  retries: int


@attrs.frozen
class Summary:
  """Summary of many requests.

  Attributes:
    requests: Number of requests.
    complete: Share answered completely within the deadline.
    refused: Share refused with outcome "not_run".
    failed: Share that failed otherwise.
    p50_ms: Median latency of the answered requests, in milliseconds.
    p99_ms: 99th percentile of their latency, in milliseconds.
    p999_ms: 99.9th percentile of their latency, in milliseconds.
    mean_coverage: Mean coverage of the answered requests.
    worst_coverage: Lowest coverage of an answered request.
    goodput: Requests per second answered completely within the deadline.
    extra_work: Hedges and retries divided by first exchanges.
  """

  requests: int
  complete: float
  refused: float
  failed: float
  p50_ms: float
  p99_ms: float
  p999_ms: float
  mean_coverage: float
  worst_coverage: float
  goodput: float
  extra_work: float


class Traffic:
  """Sends searches at a constant mean rate to all nodes in turn."""

  def __init__(
    self,
    addresses: Sequence[str],
    rate: float,
    duration_s: float,
    seed: int,
    deadline_ms: int,
    route: str = "groups",
    service: str = "fuel",
  ) -> None:
    """Creates the traffic; ``run`` sends it.

    Args:
      addresses: IP:port of the nodes.
      rate: Requests per second.
      duration_s: Time during which requests are started, in seconds.
      seed: Seed of the schedule.
      deadline_ms: Deadline of each request, in milliseconds.
      route: Route of the searches.
      service: Service of the searches.
    """
    self._addresses = addresses
    self._rate = rate
    self._duration_s = duration_s
    self._generator = random.Random(seed)
    self._deadline_ms = deadline_ms
    self._path = f"/v1/services/{service}/search/{route}"
    self._body = json.dumps({"query": {}, "deadline_ms": deadline_ms}).encode()
    self.samples: list[Sample] = []

  async def run(self) -> list[Sample]:
    """Sends all requests.

    Returns:
      A sample for each request, in the order in which the requests ended.
    """
    async with contextlib.AsyncExitStack() as stack:
      pools = [
        await stack.enter_async_context(
          httpcore.AsyncConnectionPool(max_connections=_MAX_CONNECTIONS)
        )
        for _ in self._addresses
      ]
      tasks = await stack.enter_async_context(anyio.create_task_group())
      scheduled_at = time.time()
      ends_at = scheduled_at + self._duration_s
      number = 0
      while scheduled_at < ends_at:
        await anyio.sleep(max(0.0, scheduled_at - time.time()))
        node_index = number % len(self._addresses)
        tasks.start_soon(
          self._send,
          pools[node_index],
          self._addresses[node_index],
          scheduled_at,
        )
        scheduled_at += self._generator.expovariate(self._rate)
        number += 1
    return self.samples

  async def _send(
    self, pool: httpcore.AsyncConnectionPool, address: str, scheduled_at: float
  ) -> None:
    try:
      with anyio.fail_after(_REPLY_TIMEOUT_S):
        reply = await pool.request(
          "POST", f"http://{address}{self._path}", content=self._body
        )
      body = json.loads(reply.content)
      status = reply.status
    except (
      OSError,
      TimeoutError,
      httpcore.NetworkError,
      httpcore.ProtocolError,
    ):
      body, status = {}, 0
    took_s = time.time() - scheduled_at
    self.samples.append(self._make_sample(scheduled_at, took_s, status, body))

  def _make_sample(
    self, scheduled_at: float, took_s: float, status: int, body: dict
  ) -> Sample:
    if status != 200:
      outcome = body.get("outcome", "failed")
      outcome = "not_run" if outcome == "not_run" else "failed"
      return Sample(scheduled_at, took_s, status, outcome, 0.0, 0, 0)
    coverage = body["coverage"]
    return Sample(
      scheduled_at=scheduled_at,
      took_s=took_s,
      status=status,
      outcome="complete" if body["complete"] else "partial",
      coverage=coverage["covered"] / max(1, coverage["total"]),
      hedges=body["hedges"],
      retries=body["retries"],
    )


def summarize(
  samples: Sequence[Sample],
  duration_s: float,
  deadline_ms: int,
  exchanges_per_search: float,
) -> Summary:
  """Summarizes samples.

  Args:
    samples: The samples.
    duration_s: Time during which requests were started, in seconds.
    deadline_ms: Deadline in milliseconds; a later answer counts neither as
      complete nor for goodput.
    exchanges_per_search: Exchanges of each search without hedges and retries.

  Returns:
    The summary.
  """
  answered = [s for s in samples if s.status == 200]
  latencies = histogram.HdrHistogram(
    _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
  )
  for sample in answered:
    latencies.record_value(max(_LOWEST_US, int(sample.took_s * 1e6)))
  in_time = [
    s
    for s in answered
    if s.outcome == "complete" and s.took_s * 1e3 <= deadline_ms
  ]
  count = max(1, len(samples))
  extra = sum(s.hedges + s.retries for s in answered)
  exchanges = exchanges_per_search * max(1, len(answered))
  return Summary(
    requests=len(samples),
    complete=len(in_time) / count,
    refused=sum(s.outcome == "not_run" for s in samples) / count,
    failed=sum(s.outcome == "failed" for s in samples) / count,
    p50_ms=latencies.get_value_at_percentile(50.0) / 1e3,
    p99_ms=latencies.get_value_at_percentile(99.0) / 1e3,
    p999_ms=latencies.get_value_at_percentile(99.9) / 1e3,
    mean_coverage=sum(s.coverage for s in answered) / max(1, len(answered)),
    worst_coverage=min((s.coverage for s in answered), default=0.0),
    goodput=len(in_time) / duration_s,
    extra_work=extra / exchanges,
  )
