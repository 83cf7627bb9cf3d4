"""Which requests crash the targets that run them.

A request that was in flight when its target closed the connection may have crashed it.
One crash says little, since targets also crash by themselves with innocents in flight.
The same request in flight at several crashes, over more than one attempt of its caller,
or at most targets of one fan-out, is condemned for a time and is not sent any more. One
that a target has answered is innocent: what crashes targets crashes all that run it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from lavendertide.ids import CallerRequestId, Fingerprint, ShardNumber, TargetId
from lavendertide.messages import Verdict, VerdictKind, Verdicts
from lavendertide.poison.quarantine import Quarantine

# Crashes that condemn a request; one more than two replicas can suffer by themselves.
CRASHES_TO_QUARANTINE: Final = 3
QUARANTINED_S: Final = 600.0
# As long as a caller may go on sending a request again.
CLEARED_S: Final = 60.0
# Crashes that lie further apart have separate causes.
SUSPECT_S: Final = 60.0
SUSPECTS_MAX: Final = 1_024
# Verdicts of forwarded requests hold for all services at once.
ALL_SERVICES: Final = ShardNumber(0)


@dataclass(slots=True)
class _Evidence:
    first_crash_at_s: float
    targets: set[TargetId] = field(default_factory=set)
    requests: set[CallerRequestId] = field(default_factory=set)
    reported_crashes: int = 0
    has_succeeded: bool = False


class CrashEvidence:
    """Counts the crashes beside which each request was in flight."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._suspects: OrderedDict[Fingerprint, _Evidence] = OrderedDict()

    def is_quarantined(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Returns whether a request must not be sent to any target."""
        return self._quarantine.is_quarantined(fingerprint, now_s)

    def record_crash(
        self,
        fingerprint: Fingerprint,
        request: CallerRequestId,
        target: TargetId,
        service_count: int,
        now_s: float,
    ) -> Verdict | None:
        """Takes in that a target closed the connection while it ran a request.

        Args:
            fingerprint: Equal for equal requests.
            request: The caller's attempt.
            target: Whose connection was closed.
            service_count: Services that the request was sent to.
            now_s: Present time, monotonic.

        Returns:
            What peers should know, none if it is no news.
        """
        evidence = self._evidence(fingerprint, now_s)
        if evidence.has_succeeded:
            return None
        evidence.targets.add(target)
        evidence.requests.add(request)
        # More crashes than condemn are no news: a wide search may lose dozens at once.
        crashes = min(
            max(len(evidence.targets), evidence.reported_crashes + 1),
            CRASHES_TO_QUARANTINE,
        )
        has_repeated = len(evidence.requests) > 1 or evidence.reported_crashes > 0
        hit_most_services = 2 * len(evidence.targets) > max(
            service_count, CRASHES_TO_QUARANTINE
        )
        kind = VerdictKind.SUSPECT
        if crashes >= CRASHES_TO_QUARANTINE and (has_repeated or hit_most_services):
            kind = VerdictKind.QUARANTINED
        valid_s = QUARANTINED_S if kind is VerdictKind.QUARANTINED else SUSPECT_S
        return self._apply_own_verdict(fingerprint, kind, crashes, valid_s, now_s)

    def record_reply(self, fingerprint: Fingerprint, now_s: float) -> Verdict | None:
        """Takes in that a target has answered a request.

        Returns:
            What peers should know, none unless the request was a suspect.
        """
        evidence = self._suspects.get(fingerprint)
        if evidence is None or evidence.has_succeeded:
            return None
        evidence.has_succeeded = True
        return self._apply_own_verdict(
            fingerprint, VerdictKind.CLEARED, CRASHES_TO_QUARANTINE, CLEARED_S, now_s
        )

    def apply_verdicts(
        self, verdicts: tuple[Verdict, ...], now_s: float
    ) -> list[Verdict]:
        """Takes in what peers have seen; returns what was news."""
        fresh_verdicts = self._quarantine.apply_verdicts(verdicts, now_s)
        for verdict in fresh_verdicts:
            evidence = self._evidence(verdict.fingerprint, now_s)
            evidence.reported_crashes = max(evidence.reported_crashes, verdict.crashes)
            evidence.has_succeeded |= verdict.kind is VerdictKind.CLEARED
        return fresh_verdicts

    def verdicts_for_new_member(self, now_s: float) -> Verdicts | None:
        """Returns the frame for a host that joins, none if there are no verdicts."""
        return self._quarantine.verdicts_for_new_member(now_s)

    def _apply_own_verdict(
        self,
        fingerprint: Fingerprint,
        kind: VerdictKind,
        crashes: int,
        valid_s: float,
        now_s: float,
    ) -> Verdict | None:
        verdict = Verdict(
            fingerprint, ALL_SERVICES, kind, crashes, int(valid_s * 1_000)
        )
        return verdict if self._quarantine.apply_verdicts((verdict,), now_s) else None

    def _evidence(self, fingerprint: Fingerprint, now_s: float) -> _Evidence:
        evidence = self._suspects.get(fingerprint)
        if evidence is None or now_s - evidence.first_crash_at_s > SUSPECT_S:
            evidence = self._suspects[fingerprint] = _Evidence(now_s)
            while len(self._suspects) > SUSPECTS_MAX:
                self._suspects.popitem(last=False)
        return evidence
