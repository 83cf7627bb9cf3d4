"""Decodes what a target has written of itself into the platform's store."""

from typing import Any

from lavendertide.ids import Address, FailureDomain, ServiceName, TargetId
from lavendertide.registry.record import TargetRecord, TargetState
from lavendertide.runtime.sockets import split_address

STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


def decode_target(name: str, document: Any) -> TargetRecord:
    """Returns the target of an entry that was read as JSON.

    Args:
        name: The part of the key that identifies the target.
        document: The entry.

    Raises:
        ValueError: The entry names no target that could be used.
    """
    if not isinstance(document, dict):
        raise ValueError("the entry is no table")
    state = STATES.get(_text(document, "state"))
    if state is None:
        raise ValueError(f"unknown state {document['state']!r}")
    address = Address(_text(document, "address"))
    ip, _ = split_address(address)
    if not ip:
        raise ValueError(f"{address!r} is no address")
    return TargetRecord(
        target=TargetId(name),
        service=ServiceName(_text(document, "service")),
        address=address,
        failure_domain=FailureDomain(_text(document, "zone")),
        slots=max(1, _whole(document, "slots")),
        state=state,
        # Milliseconds since the epoch; a restart under the same name has a later one.
        started_at_ms=_whole(document, "born") if "born" in document else 0,
    )


def _text(document: dict[str, Any], field: str) -> str:
    value = document.get(field)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{field} is no text")
    return value


def _whole(document: dict[str, Any], field: str) -> int:
    value = document.get(field)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{field} is no whole number")
    return value
