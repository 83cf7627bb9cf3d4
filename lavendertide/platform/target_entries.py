"""Decodes the entry that a target has registered in the platform's store."""

from typing import Any, Final

from lavendertide.ids import Address, FailureDomain, ServiceName, TargetId
from lavendertide.platform.fields import text_field, whole_number
from lavendertide.registry.record import (
    COLD_MAX_MS,
    SLOTS_MAX,
    STARTED_AT_MAX_MS,
    TargetRecord,
    TargetState,
    check_record,
)

STATE_OF_NAME = {"ready": TargetState.READY, "draining": TargetState.DRAINING}
# A target that publishes fewer slots than one runs one request at a time.
SLOTS_MIN: Final = -SLOTS_MAX


def decode_target(name: str, document: Any) -> TargetRecord:
    """Returns the record of a registered target.

    Args:
        name: The part of the store's key that identifies the target.
        document: The entry, parsed as JSON.

    Raises:
        ValueError: A field of the entry is missing or invalid.
    """
    if not isinstance(document, dict):
        raise ValueError("the entry is not a JSON object")
    state = STATE_OF_NAME.get(text_field(document, "state"))
    if state is None:
        raise ValueError("state is unknown")
    # Milliseconds since the epoch; later after a restart under the same name.
    started_at_ms = document.get("born", 0)
    record = TargetRecord(
        target=TargetId(name),
        service=ServiceName(text_field(document, "service")),
        address=Address(text_field(document, "address")),
        failure_domain=FailureDomain(text_field(document, "zone")),
        slots=max(
            1, whole_number(document.get("slots"), "slots", SLOTS_MIN, SLOTS_MAX)
        ),
        state=state,
        started_at_ms=whole_number(started_at_ms, "born", 0, STARTED_AT_MAX_MS),
        cold_left_ms=_cold_left_ms(document.get("cold-left-ms")),
    )
    check_record(record)
    return record


def _cold_left_ms(value: Any) -> int | None:
    """Returns how long a target remains cold; none if the value doesn't say.

    A value that can't be read doesn't make the entry invalid: the target still serves.
    """
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        return None
    return min(value, COLD_MAX_MS)
