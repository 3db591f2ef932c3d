"""Defaults of settings and limits; a name ends in its unit where it has one."""

# Record keys are below this number.
KEY_SPACE_END = 1 << 32

# Deadline of a request that does not set one, and the highest allowed.
DEADLINE_MS = 210
MAX_DEADLINE_MS = 60_000
# Kept back from a search's deadline for merging partial results.
MERGE_RESERVE_MS = 10
MAX_BODY_BYTES = 256 * 1024
MAX_SHARDS_PER_REQUEST = 32

LEASE_TTL_S = 4.0
LEASE_RENEWAL_PERIOD_S = 1.0
# A node stops relying on its lease this long before it can lapse.
OWNERSHIP_MARGIN_S = 0.5
WATCH_WAIT_S = 5.0
STORE_TIMEOUT_S = 1.0
STORE_RETRY_DELAY_S = 0.3
# The process counts as paused when a lease renewal is late by more than this.
MIN_PROCESS_PAUSE_S = 1.0

HEARTBEAT_PERIOD_S = 0.4
HEARTBEAT_TIMEOUT_S = 2.0
FRESHNESS_LIMIT_S = 2.5

UPSTREAM_POLL_PERIOD_S = 0.5
UPSTREAM_REPORT_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 0.5
# Status reports without a drain are ignored this long after a refusal showed
# one, since they may be older than the refusal.
MIN_DRAINING_S = 5.0
MAX_RECONNECT_DELAY_S = 0.1
# An upstream may have dropped an idle connection. Whether a request that was
# sent on it ran is then unknown, so one that must not run twice is lost.
MAX_UNSAFE_IDLE_S = 0.1
MAX_UPSTREAM_BODY_BYTES = 8 * 1024 * 1024
# All messages that a node is receiving or holds, heads included.
MAX_MESSAGE_MEMORY_BYTES = 64 * 1024 * 1024
# All bodies of callers that a node is receiving or holds.
MAX_CALLER_MEMORY_BYTES = 48 * 1024 * 1024
MAX_CALLER_CONNECTIONS = 1000
# An upstream that announces a rate limit of 0 must still be asked when it
# accepts more again, since only responses tell.
MIN_UPSTREAM_RATE_PER_S = 0.25

HEDGE_SHARE = 0.03
HEDGE_QUANTILE = 0.95
MIN_HEDGE_DELAY_S = 0.005
RETRY_SHARE = 0.10
BUDGET_BURST_REQUESTS = 5.0
# Failures in a row after which an upstream gets no requests for a while.
OUTLIER_FAILURES = 3
OUTLIER_EJECTION_S = 2.0

WARM_UP_S = 5.0
# The limit of a cold upstream grows by one after a step of at least this many
# successes and this duration.
RAMP_STEP_SUCCESSES = 8
MIN_RAMP_STEP_S = 0.4
# A warm upstream counts as cold again after this many replies in a row, each
# slower than its baseline latency by both the factor and the excess.
COLD_LATENCY_FACTOR = 4.0
COLD_LATENCY_EXCESS_S = 0.03
SLOW_REPLIES_UNTIL_COLD = 12

ADDRESSES_KEEP_S = 3.0
LEAVING_LINGER_S = 4.0
STOP_LIMIT_S = 30.0

CLAIM_RETENTION_S = 24 * 3600.0
CLAIM_CLEANUP_PERIOD_S = 600.0

# Share of the traffic with which a rollout starts.
ROLLOUT_FIRST_SHARE = 0.02
ROLLOUT_STEP_PERIOD_S = 1.0
ROLLOUT_MIN_SAMPLES = 30
ROLLOUT_SIGNIFICANCE = 0.001
ROLLOUT_WINDOW_S = 30.0

BURN_WRITE_PERIOD_S = 30.0
