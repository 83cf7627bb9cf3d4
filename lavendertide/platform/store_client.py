"""Client of the platform's store, which it reads by ranges and watches."""

import base64
import json
import logging
from typing import Any, Final
from urllib.parse import urlencode

from returns.result import Failure, Result, Success

from lavendertide.encodings.http_client_connection import (
    ClientConnection,
    ExchangeError,
)
from lavendertide.encodings.http_messages import HttpResponse, render_body, render_head
from lavendertide.errors import Refusal, unreachable
from lavendertide.evacuation.evacuated_domains import Evacuation
from lavendertide.gateway.publications import (
    EvacuationPublished,
    HistoryLost,
    Publication,
    PublicationBatch,
    RoutesPublished,
    TargetPublished,
    TargetWithdrawn,
)
from lavendertide.gateway.reading_times import ReadingTimes
from lavendertide.ids import (
    Address,
    FailureDomain,
    StoreEra,
    StoreRevision,
    TargetId,
)
from lavendertide.overload.response_memory import ResponseMemory
from lavendertide.platform.names import (
    EVACUATIONS_PREFIX,
    RANGE_PATH,
    ROUTES_KEY,
    STORE_ERA,
    TARGETS_PREFIX,
    WATCH_PATH,
)
from lavendertide.platform.operator_routes import decode_routes
from lavendertide.platform.target_entries import decode_target
from lavendertide.registry.record import NAME_MAX_CHARACTERS, TARGET_NAME
from lavendertide.restoration.position import UNNAMED_ERA, Position, check_number

# The store responds within milliseconds; one that takes longer counts as lost.
CONNECT_TIMEOUT_S: Final = 0.5
RESPONSE_TIMEOUT_S: Final = 1.0
# Maximum number of pages read of one range; more than any deployment needs.
PAGES_MAX: Final = 1_000
# How often everything is read from the start if the store is restored meanwhile.
RANGES_MAX: Final = 3
ALL_KEYS: Final = ""
# Length up to which the key and the problem of a refused entry are logged.
LOGGED_MAX_CHARACTERS: Final = 200
ERA_REMEDY: Final = "Check what responds at the address of the platform's store."
REMEDY: Final = "Check that the platform's store runs; data read before stays in use."

# Raised for a document whose fields are missing or of another type.
_UNREADABLE: Final = (AttributeError, KeyError, TypeError, ValueError)

_log = logging.getLogger(__name__)


class _StoreError(Exception):
    """A call to the store failed, or its response cannot be read."""


class _ConnectionClosed(_StoreError):
    """The store has closed the connection without a response."""


class _OversizedResponse(_StoreError):
    """The store's response has more bytes than are read of one."""


class StoreClient:
    """Reads the store over one persistent connection.

    Args:
        address: The store's address.
        times: Sets how long a watch waits. A lost response is detected only at the end
            of that time.
    """

    def __init__(self, address: Address, times: ReadingTimes) -> None:
        self._address = address
        self._times = times
        # Not shared with targets, whose responses may use up the memory for all.
        self._connection = ClientConnection(address, ResponseMemory())
        self._refused: dict[str, str] = {}
        self._era = UNNAMED_ERA

    def read_all(self) -> Result[PublicationBatch, Refusal]:
        """Reads all routes and targets."""
        try:
            return Success(self._read_all())
        except (_StoreError, ValueError) as error:
            return Failure(unreachable(self._address, str(error), REMEDY))

    def read_changes(
        self, position: Position
    ) -> Result[PublicationBatch | HistoryLost, Refusal]:
        """Reads the changes since a position; waits for some time if there are none."""
        try:
            response = self._watch(position)
        except _OversizedResponse:
            # The store doesn't divide the changes into pages, as it does a range.
            return Success(HistoryLost(position.era))
        except _StoreError as error:
            return Failure(unreachable(self._address, str(error), REMEDY))
        era = self._read_era(response, position.era)
        if era != position.era or response.status == 410:
            return Success(HistoryLost(era))
        try:
            document = _parse_document(response)
            publications = [self._decode(event, era) for event in document["events"]]
            batch = PublicationBatch(
                tuple(p for p in publications if p is not None),
                _decode_position(era, document["current-rev"]),
            )
            return Success(batch)
        except (_StoreError, *_UNREADABLE) as error:
            return Failure(unreachable(self._address, str(error), REMEDY))

    def _read_all(self) -> PublicationBatch:
        for _ in range(RANGES_MAX):
            batch = self._read_range()
            if batch is not None:
                return batch
        raise _StoreError("restored again while it was read")

    def _read_range(self) -> PublicationBatch | None:
        """Reads all pages; returns none if the store was restored between two."""
        # Pages are read at different times. Reading changes from the first page's
        # position on includes those that later pages missed.
        first: Position | None = None
        publications: list[Publication] = []
        after = ""
        for _ in range(PAGES_MAX):
            query = {"prefix": ALL_KEYS, "after": after}
            response = self._get(RANGE_PATH, query, RESPONSE_TIMEOUT_S)
            era = self._read_era(response, self._era)
            document = _parse_document(response)
            try:
                position = _decode_position(era, document["current-rev"])
                first = first or position
                # A store that names no era is seen to be restored by its revision.
                if position.era != first.era or position < first:
                    return None
                items = document["items"]
                decoded = [self._decode(item, era) for item in items]
                publications += [p for p in decoded if p is not None]
                if not document["has-more"] or not items:
                    break
                after = items[-1]["key"]
            except _UNREADABLE as error:
                raise _StoreError(f"unreadable range: {error!r}") from error
        if first is None:
            raise _StoreError("a range without pages")
        evacuations = tuple(
            publication.state
            for publication in publications
            if isinstance(publication, EvacuationPublished)
        )
        return PublicationBatch(
            tuple(publications), first, evacuations=evacuations, is_complete=True
        )

    def _read_era(self, response: HttpResponse, known: StoreEra) -> StoreEra:
        """Returns the era of a response.

        A response that names none, such as that of a proxy or of an earlier release of
        the store, gives no evidence of another era than the known one.
        """
        value = response.header(STORE_ERA)
        self._era = max(self._era, known)
        if value is None:
            return self._era
        try:
            era = decode_era(value)
        except ValueError as error:
            self._record_refused(STORE_ERA.decode(), str(error))
            return self._era
        if era < self._era:
            # Another process may answer on a new connection.
            self._connection.close()
            return era
        self._refused.pop(STORE_ERA.decode(), None)
        self._era = era
        return era

    def _watch(self, position: Position) -> HttpResponse:
        query = {
            "prefix": ALL_KEYS,
            # Here a revision, not a key as in a range: later changes are returned.
            "after": position.revision,
            "wait-ms": round(self._times.watch_s * 1_000),
        }
        try:
            return self._get(WATCH_PATH, query, self._times.watch_timeout_s)
        except _ConnectionClosed:
            # The store may cut a watch that waits, which says nothing of an outage if
            # it answers one that doesn't.
            return self._get(WATCH_PATH, query | {"wait-ms": 0}, RESPONSE_TIMEOUT_S)

    def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> HttpResponse:
        connection = self._connection
        if not connection.is_open and not connection.open(CONNECT_TIMEOUT_S):
            raise _StoreError("cannot connect")
        target = f"{path}?{urlencode(query)}"
        head = render_head("GET", target, [(b"Host", self._address.encode())])
        try:
            return connection.exchange(
                "GET", [head + render_body("GET", b"")], timeout_s
            )
        except ExchangeError as error:
            if error.is_oversized:
                raise _OversizedResponse("response too large") from error
            if error.is_timeout:
                raise _StoreError("timeout") from error
            if error.has_received_data:
                raise _StoreError("incomplete response") from error
            raise _ConnectionClosed("connection closed") from error

    def _decode(self, item: dict[str, Any], era: StoreEra) -> Publication | None:
        key = item["key"]
        if key == ROUTES_KEY:
            return self._decode_routes(item)
        if key.startswith(EVACUATIONS_PREFIX):
            return self._decode_evacuation(item, era)
        if not key.startswith(TARGETS_PREFIX):
            return None
        name = key.removeprefix(TARGETS_PREFIX)
        if not TARGET_NAME.fullmatch(name):
            # No target can have this name, and peers couldn't be sent it.
            self._record_refused(key, "the key is not visible ASCII")
            return None
        # An event has this field if the key was removed.
        if "tombstone" in item:
            return TargetWithdrawn(TargetId(name))
        try:
            record = decode_target(name, _decode_value(item))
        except ValueError as error:
            self._record_refused(key, str(error))
            return TargetWithdrawn(TargetId(name))
        self._refused.pop(key, None)
        return TargetPublished(record)

    def _decode_evacuation(
        self, item: dict[str, Any], era: StoreEra
    ) -> Publication | None:
        """Decodes the order to evacuate a domain; the key alone says which one."""
        domain = item["key"].removeprefix(EVACUATIONS_PREFIX)
        is_name = domain.isprintable() and 0 < len(domain) <= NAME_MAX_CHARACTERS
        if not is_name:
            self._record_refused(item["key"], "the key names no failure domain")
            return None
        state = Evacuation(
            FailureDomain(domain),
            _decode_position(era, item["rev"]),
            "tombstone" not in item,
        )
        return EvacuationPublished(state)

    def _decode_routes(self, item: dict[str, Any]) -> Publication | None:
        if "tombstone" in item:
            return None
        try:
            return RoutesPublished(decode_routes(_decode_value(item)))
        except ValueError as error:
            self._record_refused(item["key"], str(error))
            return None

    def _record_refused(self, key: str, problem: str) -> None:
        key, problem = key[:LOGGED_MAX_CHARACTERS], problem[:LOGGED_MAX_CHARACTERS]
        if self._refused.get(key) == problem:
            return
        if len(self._refused) >= PAGES_MAX:
            self._refused.clear()
        self._refused[key] = problem
        _log.warning("entry refused", extra={"entry": key, "problem": problem})


def _parse_document(response: HttpResponse) -> dict[str, Any]:
    if response.status != 200:
        raise _StoreError(f"status {response.status}")
    try:
        document = json.loads(response.body)
    except (ValueError, RecursionError) as error:
        raise _StoreError("unreadable response") from error
    if not isinstance(document, dict):
        raise _StoreError("unreadable response")
    return document


def decode_era(value: bytes) -> StoreEra:
    """Returns the era that a response of the store names.

    Raises:
        ValueError: The header has no whole number in range.
    """
    # `int` accepts signs, underscores and digits of other scripts as well.
    if not value.isdigit():
        raise ValueError(f"the era is not a whole number. {ERA_REMEDY}")
    try:
        return StoreEra(check_number(int(value), "era"))
    except ValueError as error:
        raise ValueError(f"{error}. {ERA_REMEDY}") from error


def _decode_position(era: StoreEra, revision: object) -> Position:
    """Returns the place of a revision in the store's history.

    Raises:
        ValueError: The revision is no whole number in range.
    """
    return Position(era, StoreRevision(check_number(revision, "revision")))


def _decode_value(item: dict[str, Any]) -> Any:
    """Returns an item's value, which is JSON encoded as base64.

    Raises:
        ValueError: The value cannot be decoded.
    """
    try:
        return json.loads(base64.b64decode(item["value"], validate=True))
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"unreadable value: {error!r}") from error
