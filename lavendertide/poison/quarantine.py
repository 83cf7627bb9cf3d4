"""Decides whether a request may run, may run only alone, or may not run at all.

A request that was in flight when its target closed the connection is suspect at that
shard: either it or a concurrent request may have caused the crash. A suspect runs only
alone. If it succeeds, it is cleared. If the target crashes again, the request is
quarantined at all shards for a time. So a request is quarantined only after a crash
that no other request can have caused, and harmless requests that were in flight at the
same target are not.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from typing import Final

from lavendertide.ids import Fingerprint, ShardNumber
from lavendertide.messages import Verdict, VerdictKind, Verdicts

SUSPECT_S: Final = 600.0
CLEARED_S: Final = 120.0
QUARANTINED_S: Final = 600.0
QUARANTINED_MAX_S: Final = 3_600.0
VERDICTS_MAX: Final = 4_096
VERDICTS_PER_FRAME: Final = 512

_KIND_RANK: Final = {
    VerdictKind.SUSPECT: 0,
    VerdictKind.CLEARED: 1,
    VerdictKind.QUARANTINED: 2,
}


class Permission(Enum):
    """How a request may run: freely, with no other one at its target, or never."""

    FREELY = "freely"
    ALONE = "alone"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class _Entry:
    kind: VerdictKind
    crashes: int
    until_s: float


class Quarantine:
    """The verdicts of this daemon and its peers.

    The number of verdicts is bounded by `VERDICTS_MAX`; the oldest are removed first.
    """

    def __init__(self) -> None:
        self._entries: dict[tuple[Fingerprint, ShardNumber], _Entry] = {}
        self._quarantined_until_s: dict[Fingerprint, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is no verdict."""
        return not self._entries

    def is_quarantined(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Returns whether a request must not run at present."""
        return now_s < self._quarantined_until_s.get(fingerprint, 0.0)

    def permission(
        self, fingerprint: Fingerprint, shard: ShardNumber, now_s: float
    ) -> Permission:
        """Returns how a request may run at a shard at present.

        A request whose quarantine has expired runs alone until it has been cleared.
        """
        if not self._entries:
            return Permission.FREELY
        quarantined_until_s = self._quarantined_until_s.get(fingerprint)
        if quarantined_until_s is not None and now_s < quarantined_until_s:
            return Permission.NEVER
        entry = self._entries.get((fingerprint, shard))
        if entry is None:
            was_quarantined = quarantined_until_s is not None
            return Permission.ALONE if was_quarantined else Permission.FREELY
        match entry.kind:
            case VerdictKind.CLEARED:
                return Permission.FREELY
            case VerdictKind.SUSPECT if now_s >= entry.until_s:
                return Permission.FREELY
            case _:
                return Permission.ALONE

    def record_crash(
        self,
        fingerprint: Fingerprint,
        shard: ShardNumber,
        was_alone: bool,
        now_s: float,
    ) -> Verdict:
        """Records that a target crashed with a request in flight.

        Args:
            fingerprint: Identifies requests of equal content.
            shard: The shard of the target.
            was_alone: Whether no other request was in flight at the target.
            now_s: Present time, monotonic.

        Returns:
            The new verdict: quarantined if the request was alone, suspect otherwise.
        """
        entry = self._entries.get((fingerprint, shard))
        crashes = 1 + (entry.crashes if entry is not None else 0)
        if was_alone:
            verdict = _make_verdict(
                fingerprint,
                shard,
                VerdictKind.QUARANTINED,
                crashes,
                _quarantine_duration_s(crashes),
            )
        else:
            verdict = _make_verdict(
                fingerprint, shard, VerdictKind.SUSPECT, crashes, SUSPECT_S
            )
        self.apply_verdicts((verdict,), now_s)
        return verdict

    def clear(
        self, fingerprint: Fingerprint, shard: ShardNumber, now_s: float
    ) -> Verdict | None:
        """Clears a suspect that has succeeded alone.

        Returns:
            The new verdict, none if the request was not suspect.
        """
        entry = self._entries.get((fingerprint, shard))
        if entry is None and fingerprint not in self._quarantined_until_s:
            return None
        crashes = entry.crashes if entry is not None else 1
        verdict = _make_verdict(
            fingerprint, shard, VerdictKind.CLEARED, crashes, CLEARED_S
        )
        self.apply_verdicts((verdict,), now_s)
        return verdict

    def apply_verdicts(
        self, verdicts: Iterable[Verdict], now_s: float
    ) -> list[Verdict]:
        """Applies verdicts; returns those that were new."""
        return [verdict for verdict in verdicts if self._apply(verdict, now_s)]

    def verdicts_for_new_member(self, now_s: float) -> Verdicts | None:
        """Returns the verdicts to send to a new member, none if there are none."""
        verdicts = self.verdicts(now_s)
        return Verdicts(verdicts) if verdicts else None

    def verdicts(self, now_s: float) -> tuple[Verdict, ...]:
        """Returns the verdicts in force that aren't clearances, the newest first.

        Their number is bounded by `VERDICTS_PER_FRAME`.
        """
        valid = (
            _make_verdict(
                key[0], key[1], entry.kind, entry.crashes, entry.until_s - now_s
            )
            for key, entry in reversed(self._entries.items())
            if entry.until_s > now_s and entry.kind is not VerdictKind.CLEARED
        )
        return tuple(islice(valid, VERDICTS_PER_FRAME))

    def _apply(self, verdict: Verdict, now_s: float) -> bool:
        key = verdict.fingerprint, verdict.shard
        until_s = now_s + min(verdict.valid_ms / 1000, QUARANTINED_MAX_S)
        known = self._entries.get(key)
        if known is not None:
            has_expired = now_s >= known.until_s and known.kind is VerdictKind.CLEARED
            if not has_expired and _verdict_rank(verdict) <= (
                known.crashes,
                _KIND_RANK[known.kind],
            ):
                return False
            del self._entries[key]
        self._entries[key] = _Entry(verdict.kind, verdict.crashes, until_s)
        if verdict.kind is VerdictKind.QUARANTINED:
            earlier_s = self._quarantined_until_s.get(verdict.fingerprint, 0.0)
            self._quarantined_until_s[verdict.fingerprint] = max(earlier_s, until_s)
        self._remove_oldest(now_s)
        return True

    def _remove_oldest(self, now_s: float) -> None:
        while len(self._entries) > VERDICTS_MAX:
            fingerprint, shard = next(iter(self._entries))
            del self._entries[fingerprint, shard]
            if now_s >= self._quarantined_until_s.get(fingerprint, 0.0):
                self._quarantined_until_s.pop(fingerprint, None)
        while len(self._quarantined_until_s) > VERDICTS_MAX:
            del self._quarantined_until_s[next(iter(self._quarantined_until_s))]


def _verdict_rank(verdict: Verdict) -> tuple[int, int]:
    return verdict.crashes, _KIND_RANK[verdict.kind]


def _quarantine_duration_s(crashes: int) -> float:
    return min(QUARANTINED_MAX_S, QUARANTINED_S * 2.0 ** max(0, crashes - 2))


def _make_verdict(
    fingerprint: Fingerprint,
    shard: ShardNumber,
    kind: VerdictKind,
    crashes: int,
    valid_s: float,
) -> Verdict:
    return Verdict(fingerprint, shard, kind, crashes, int(valid_s * 1000))
