"""Names of the platform's headers, paths and keys on the wire."""

from typing import Final

# Headers, in lower case, as parsed messages have them.
REQUEST_ID: Final = b"lavendertide-request-id"
# Duration for which the sender still waits after sending, not a point in time.
DEADLINE_MS: Final = b"lavendertide-deadline-ms"
# Identifies the only target that may run the request.
EXPECTED_TARGET: Final = b"lavendertide-expect-instance"
# Proves which target sent a reply, also one that reports a failure; neither a version
# nor a time.
SIGNATURE: Final = b"lavendertide-server-stamp"
# Present if the target has not run the request; its value has no meaning.
NOT_RUN: Final = b"lavendertide-not-executed"
# "1" if the target is leaving; other values have no meaning.
LEAVING_HEADERS: Final = frozenset({b"server-leaving", b"lavendertide-server-leaving"})
# Requests running, requests waiting and slots, separated by commas, and sometimes how
# long work takes now in percent of usual.
SERVER_LOAD: Final = b"lavendertide-server-load"
PART_SIGNATURES: Final = b"lavendertide-part-stamps"
# The number of missing shards, not their names.
MISSING_SHARDS: Final = b"lavendertide-missing-parts"
# Whole milliseconds for which the sender remains cold.
COLD_MS: Final = b"lavendertide-cold-ms"
RETRY_AFTER: Final = b"retry-after"
CONTENT_ENCODING: Final = b"content-encoding"
# In all responses of the store; rises by one each time it returns from a copy.
STORE_ERA: Final = b"store-era"
KEEP_ALIVE: Final = b"keep-alive"

READY_PATH: Final = "/api/ready"
ADDRESSES_PATH: Final = "/api/resolve"
METRICS_PATH: Final = "/metrics"
RANGE_PATH: Final = "/api/kv-range"
WATCH_PATH: Final = "/api/kv-watch"

ROUTES_KEY: Final = "op/config"
# Followed by the name of a failure domain whose targets must get no requests.
EVACUATIONS_PREFIX: Final = "op/evacuate/"
TARGETS_PREFIX: Final = "servers/"
