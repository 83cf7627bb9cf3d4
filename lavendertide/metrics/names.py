"""The names of all metrics and the buckets of the histograms.

`prometheus_client` appends `_total` to the names of counters.
"""

from typing import Final

LATENCY_SECONDS: Final = "lavendertide_query_latency_seconds"
COVERAGE_RATIO: Final = "lavendertide_query_coverage_ratio"
QUEUEING_SECONDS: Final = "lavendertide_queueing_seconds"
QUERIES: Final = "lavendertide_queries"
EXECUTIONS: Final = "lavendertide_executions"
REFUSALS: Final = "lavendertide_refusals"
GAPS: Final = "lavendertide_gaps"
ATTEMPTS: Final = "lavendertide_attempts"
EXTRA_ATTEMPTS: Final = "lavendertide_extra_attempts"
SUB_REQUESTS: Final = "lavendertide_sub_requests"
HEDGES: Final = "lavendertide_hedges"
HEDGES_WITHHELD: Final = "lavendertide_hedges_withheld"
STRAGGLER_SECONDS: Final = "lavendertide_straggler_seconds"
RETRIES: Final = "lavendertide_retries"
SLOT_BREACHES: Final = "lavendertide_slot_breaches"
DEADLINE_BREACHES: Final = "lavendertide_deadline_breaches"
TARGETS_OVER_LIMIT: Final = "lavendertide_targets_over_limit"
CONFIGURATION_VERSION: Final = "lavendertide_configuration_version"
CONFIGURATION_REFUSED: Final = "lavendertide_configuration_refused"
SERVICE_LOST: Final = "lavendertide_configuration_service_lost"
MEMBERS: Final = "lavendertide_members"
MEMBERS_REACHABLE: Final = "lavendertide_members_reachable"
TARGETS_HELD: Final = "lavendertide_targets_held"
TARGETS_QUEUED: Final = "lavendertide_target_queue_length"
TARGET_SLOTS_IN_USE: Final = "lavendertide_target_slots_in_use"

LATENCY_BUCKETS_S: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.045,
    0.06,
    0.08,
    0.1,
    0.12,
    0.15,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
)
QUEUEING_BUCKETS_S: Final = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5)
COVERAGE_BUCKETS: Final = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)
