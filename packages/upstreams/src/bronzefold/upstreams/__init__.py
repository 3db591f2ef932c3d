"""Connections to upstreams: queue, limits and cold start."""

from bronzefold.upstreams.connection import Exchange
from bronzefold.upstreams.connection import Response
from bronzefold.upstreams.connection import UpstreamConnection
from bronzefold.upstreams.executor import UpstreamExecutor
from bronzefold.upstreams.executor import UpstreamState
from bronzefold.upstreams.messages import SearchBody
from bronzefold.upstreams.messages import SearchReply
from bronzefold.upstreams.messages import ShardResult
from bronzefold.upstreams.messages import SnapshotReport
from bronzefold.upstreams.messages import StatusReport
from bronzefold.upstreams.queue import DeadlineQueue
from bronzefold.upstreams.queue import Job
from bronzefold.upstreams.ramp import ColdStartRamp

__all__ = [
  "ColdStartRamp",
  "DeadlineQueue",
  "Exchange",
  "UpstreamState",
  "Job",
  "Response",
  "SearchBody",
  "SearchReply",
  "ShardResult",
  "SnapshotReport",
  "StatusReport",
  "UpstreamConnection",
  "UpstreamExecutor",
]
