"""Counts the shards that searches left out, by cause and route, from the logs of hosts.

Only the lines that end requests are used. A host that writes more lines than its bound
drops some, so the counts come with the number of dropped lines.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from lavendertide.reports.timeline import LogLine, parse_lines

ENDED_MESSAGE: Final = "request ended"
DROPPED_FIELD: Final = "dropped_before"
CAUSES_FIELD: Final = "missing_causes"


@dataclass(slots=True)
class RouteCounts:
    """Counts of one route.

    Attributes:
        requests: Ended requests.
        incomplete: Those of them with missing shards.
        shards: Missing shards by cause.
        searches: Requests with missing shards of a cause, by cause.
    """

    requests: int = 0
    incomplete: int = 0
    shards: Counter[str] = field(default_factory=Counter)
    searches: Counter[str] = field(default_factory=Counter)

    def record(self, causes: dict[str, int]) -> None:
        """Records a request and its number of missing shards by cause."""
        self.requests += 1
        self.incomplete += bool(causes)
        self.shards.update(causes)
        self.searches.update(causes.keys())

    def add(self, other: "RouteCounts") -> None:
        """Adds the counts of another route."""
        self.requests += other.requests
        self.incomplete += other.incomplete
        self.shards += other.shards
        self.searches += other.searches


@dataclass(slots=True)
class MissingShards:
    """The counts of all routes, and the number of log lines that are not counted."""

    routes: dict[str, RouteCounts] = field(
        default_factory=lambda: defaultdict(RouteCounts)
    )
    dropped_lines: int = 0

    @property
    def total(self) -> RouteCounts:
        """The sum over all routes."""
        total = RouteCounts()
        for counts in self.routes.values():
            total.add(counts)
        return total

    def read(self, texts: Iterable[str], outcome: str | None = None) -> None:
        """Counts the lines of one log.

        Args:
            texts: The lines; those of other programs are ignored.
            outcome: Counts only requests that ended with this outcome; all if none.
        """
        for line in parse_lines(_select(texts)):
            dropped = line.details.get(DROPPED_FIELD)
            if isinstance(dropped, int):
                self.dropped_lines += dropped
            if line.message != ENDED_MESSAGE:
                continue
            if outcome is None or line.details.get("outcome") == outcome:
                route = str(line.details.get("route"))
                self.routes[route].record(_causes_of(line))

    def to_json(self) -> dict[str, Any]:
        """Returns the counts as a JSON document."""
        return {
            "dropped_lines": self.dropped_lines,
            "total": _to_json(self.total),
            "routes": {name: _to_json(each) for name, each in self.routes.items()},
        }


def _select(texts: Iterable[str]) -> Iterator[str]:
    """Skips lines that can't count, since most lines of a log are of other kinds."""
    return (text for text in texts if ENDED_MESSAGE in text or DROPPED_FIELD in text)


def _causes_of(line: LogLine) -> dict[str, int]:
    causes = line.details.get(CAUSES_FIELD)
    if not isinstance(causes, dict):
        return {}
    return {cause: count for cause, count in causes.items() if isinstance(count, int)}


def _to_json(counts: RouteCounts) -> dict[str, Any]:
    return {
        "requests": counts.requests,
        "incomplete": counts.incomplete,
        "missing": counts.shards.total(),
        "causes": {
            cause: {"shards": shards, "searches": counts.searches[cause]}
            for cause, shards in counts.shards.most_common()
        },
    }
