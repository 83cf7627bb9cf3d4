"""Decodes the entry that a target has registered in the platform's store."""

from typing import Any

from lavendertide.ids import Address, FailureDomain, ServiceName, TargetId
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.runtime.sockets import split_address

STATE_OF_NAME = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


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
    state = STATE_OF_NAME.get(_text(document, "state"))
    if state is None:
        raise ValueError(f"unknown state {document['state']!r}")
    address = Address(_text(document, "address"))
    ip, _ = split_address(address)
    if not ip:
        raise ValueError(f"{address!r} is not IP:port")
    return TargetRecord(
        target=TargetId(name),
        service=ServiceName(_text(document, "service")),
        address=address,
        failure_domain=FailureDomain(_text(document, "zone")),
        slots=max(1, _whole_number(document, "slots")),
        state=state,
        # Milliseconds since the epoch; later after a restart under the same name.
        started_at_ms=_whole_number(document, "born") if "born" in document else 0,
    )


def _text(document: dict[str, Any], field: str) -> str:
    value = document.get(field)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{field} is not a text")
    return value


def _whole_number(document: dict[str, Any], field: str) -> int:
    value = document.get(field)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{field} is not a whole number")
    return value
