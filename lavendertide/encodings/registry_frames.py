"""Codec of the frames by which hosts read target records from a peer.

One host reads the platform for others of its failure domain.
"""

import logging
from collections.abc import Iterable
from typing import Any, Final

from lavendertide import messages
from lavendertide.encodings.generated.peer_protocol import ttypes
from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.ids import (
    Address,
    ConfigurationVersion,
    ExchangeId,
    FailureDomain,
    ServiceName,
    StoreEra,
    StoreRevision,
    TargetId,
)
from lavendertide.registry.record import TargetRecord, TargetState, check_record
from lavendertide.restoration.position import UNNAMED_ERA, Position

# Revision in a pull that requests everything.
EVERYTHING: Final = -1
# Characters of a refused record's name that are logged.
NAMED_MAX: Final = 64

_log = logging.getLogger(__name__)


def to_union(frame: messages.Frame) -> Any | None:
    """Returns the generated union for a registry frame, none for any other frame."""
    match frame:
        case messages.RegistryPull(exchange, None):
            pull = ttypes.RegistryPull(exchange, EVERYTHING)
            return ttypes.Frame(registry_pull=pull)
        case messages.RegistryPull(exchange, Position(era, revision)):
            pull = ttypes.RegistryPull(exchange, revision, era)
            return ttypes.Frame(registry_pull=pull)
        case messages.RegistryPush():
            push = ttypes.RegistryPush(
                frame.exchange,
                frame.position.revision,
                [_pack_record(record) for record in frame.records],
                list(frame.withdrawn),
                frame.is_full,
                frame.is_current,
                frame.routes_version,
                pack_evacuations(frame.evacuations),
                frame.position.era,
            )
            return ttypes.Frame(registry_push=push)
    return None


def from_union(union: Any) -> messages.Frame | None:
    """Returns the registry frame in a generated union, none if it has another."""
    if union.registry_pull is not None:
        pull = union.registry_pull
        position = None
        if pull.revision != EVERYTHING:
            position = _unpack_position(pull.era, pull.revision)
        return messages.RegistryPull(ExchangeId(pull.exchange), position)
    if union.registry_push is not None:
        push = union.registry_push
        return messages.RegistryPush(
            ExchangeId(push.exchange),
            _unpack_position(push.era, push.revision),
            _unpack_records(push.records),
            tuple(TargetId(target) for target in push.withdrawn),
            push.is_whole,
            push.is_current,
            ConfigurationVersion(push.routes_version),
            unpack_evacuations(push.evacuations),
        )
    return None


def pack_evacuations(states: Iterable[Evacuation] | None) -> list[Any] | None:
    """Returns the generated structs of evacuations; none if there is no list."""
    if states is None:
        return None
    return [_pack_evacuation(state) for state in states]


def unpack_evacuations(items: list[Any] | None) -> tuple[Evacuation, ...] | None:
    """Returns the evacuations in generated structs; none if there is no list."""
    if items is None:
        return None
    return tuple(
        Evacuation(
            FailureDomain(item.failure_domain),
            _unpack_position(item.era, item.revision),
            item.is_evacuated,
        )
        for item in items
    )


def _pack_evacuation(state: Evacuation) -> Any:
    position = state.position
    return ttypes.Evacuation(
        state.domain, position.revision, state.is_evacuated, position.era
    )


def _unpack_position(era: int | None, revision: int) -> Position:
    """Returns a place in the store's history; earlier releases send no era."""
    known_era = UNNAMED_ERA if era is None else StoreEra(era)
    return Position(known_era, StoreRevision(revision))


def _pack_record(record: TargetRecord) -> Any:
    return ttypes.TargetEntry(
        record.target,
        record.service,
        record.address,
        record.failure_domain,
        record.slots,
        record.state.value,
        record.started_at_ms,
        record.cold_left_ms,
    )


def _unpack_records(entries: list[Any]) -> tuple[TargetRecord, ...]:
    """Returns the valid records; a peer of an earlier release may pass on others."""
    records: list[TargetRecord] = []
    for entry in entries:
        try:
            record = _unpack_record(entry)
            check_record(record)
        except ValueError as error:
            _log.warning(
                "record of a peer refused",
                extra={"entry": repr(entry.target)[:NAMED_MAX], "problem": str(error)},
            )
        else:
            records.append(record)
    return tuple(records)


def _unpack_record(entry: Any) -> TargetRecord:
    return TargetRecord(
        TargetId(entry.target),
        ServiceName(entry.service_name),
        Address(entry.address),
        FailureDomain(entry.failure_domain),
        entry.slots,
        TargetState(entry.state),
        entry.born_ms,
        entry.cold_left_ms,
    )
