"""Names and prefixes of bronzefold's keys in the store."""

from __future__ import annotations

SHARED_PREFIX = "bronzefold/"
DOCUMENT_PREFIX = SHARED_PREFIX + "documents/"
ZONE_PREFIX = SHARED_PREFIX + "zones/"
NODE_PREFIX = SHARED_PREFIX + "nodes/"
OWNER_PREFIX = SHARED_PREFIX + "owners/"
ROLLOUT_PREFIX = SHARED_PREFIX + "rollouts/"
LEADER_KEY = SHARED_PREFIX + "leader"
CLAIM_PREFIX = "bronzefold-claims/"
BURN_PREFIX = "bronzefold-burn/"
