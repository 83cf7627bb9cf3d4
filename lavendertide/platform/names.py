"""The platform's names on the wire, each decoded or written in one place."""

from typing import Final

# Headers, in lower case as they are read.
REQUEST_ID: Final = b"lavendertide-request-id"
# How long the sender still waits, from when it sent the request; not a moment in time.
DEADLINE_MS: Final = b"lavendertide-deadline-ms"
# The only target that may run the request.
EXPECTED_TARGET: Final = b"lavendertide-expect-instance"
# Proves which target made a reply, of failures as well; not a version or a time.
SIGNATURE: Final = b"lavendertide-server-stamp"
# Present when a target says that it has not run the request; its value means nothing.
NOT_RUN: Final = b"lavendertide-not-executed"
PART_SIGNATURES: Final = b"lavendertide-part-stamps"
# How many shards are left out; not which.
MISSING_SHARDS: Final = b"lavendertide-missing-parts"
RETRY_AFTER: Final = b"retry-after"
CONTENT_ENCODING: Final = b"content-encoding"
KEEP_ALIVE: Final = b"keep-alive"

READY_PATH: Final = "/api/ready"
ADDRESSES_PATH: Final = "/api/resolve"
METRICS_PATH: Final = "/metrics"
RANGE_PATH: Final = "/api/kv-range"
WATCH_PATH: Final = "/api/kv-watch"

ROUTES_KEY: Final = "op/config"
TARGETS_PREFIX: Final = "servers/"
