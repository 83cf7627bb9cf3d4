"""Detects requests that crash the targets that run them.

A request that was in flight when its target closed the connection may have crashed the
target. One crash is weak evidence, since targets also crash for other reasons. A
request that was in flight at several crashes, either over more than one attempt of its
caller or at most targets of one fan-out, is quarantined: for a time it is not sent to
any target. A request with a successful reply is cleared, because a request that crashes
targets crashes every target that runs it.

A target that starts again can be crashed again, so crashes are counted by process and
not by target. Several connections that one process closes are one crash.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from lavendertide.ids import CallerRequestId, Fingerprint, ShardNumber
from lavendertide.messages import Verdict, VerdictKind, Verdicts
from lavendertide.poison.quarantine import Quarantine
from lavendertide.registry.record import TargetRun

# Crashes after which a request is quarantined: one more than two replicas can have for
# reasons of their own.
CRASHES_TO_QUARANTINE: Final = 3
QUARANTINED_S: Final = 600.0
# A caller may go on repeating a request for this long.
CLEARED_S: Final = 60.0
# Crashes that are further apart are assumed to have separate causes.
SUSPECT_S: Final = 60.0
SUSPECTS_MAX: Final = 1_024
# Verdicts on forwarded requests apply to all services.
ALL_SERVICES: Final = ShardNumber(0)


@dataclass(frozen=True, slots=True)
class TargetProcess:
    """One process of a target, as far as this host can distinguish it from others.

    Attributes:
        run: The run that the target's entry describes.
        outages: How often the target had stopped accepting connections before. The
            entry of a new run is published some time after its start, and not while
            the platform is away.
    """

    run: TargetRun
    outages: int = 0


@dataclass(slots=True)
class _Evidence:
    last_crash_at_s: float
    processes: set[TargetProcess] = field(default_factory=set)
    requests: set[CallerRequestId] = field(default_factory=set)
    reported_crashes: int = 0
    has_succeeded: bool = False


class CrashEvidence:
    """Counts, for each suspect, the crashes at which it was in flight.

    The oldest suspects are removed when there are more than `SUSPECTS_MAX`.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._suspects: OrderedDict[Fingerprint, _Evidence] = OrderedDict()

    def is_quarantined(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Returns whether a request must not be sent to any target at present."""
        return self._quarantine.is_quarantined(fingerprint, now_s)

    def record_crash(
        self,
        fingerprint: Fingerprint,
        request: CallerRequestId,
        process: TargetProcess,
        service_count: int,
        now_s: float,
    ) -> Verdict | None:
        """Records that a target closed the connection while it ran a request.

        Args:
            fingerprint: Equal for requests of equal content.
            request: Identifies the caller's attempt.
            process: The process that closed the connection.
            service_count: Number of services that the request was sent to.
            now_s: Present time, monotonic.

        Returns:
            The verdict to broadcast to peers, none if it adds nothing to known ones.
        """
        evidence = self._evidence(fingerprint, now_s)
        if evidence.has_succeeded:
            return None
        evidence.last_crash_at_s = now_s
        evidence.processes.add(process)
        evidence.requests.add(request)
        # Crashes beyond the threshold change nothing and aren't broadcast: a fan-out
        # over many shards may see dozens of them at once.
        crashes = min(
            max(len(evidence.processes), evidence.reported_crashes + 1),
            CRASHES_TO_QUARANTINE,
        )
        has_repeated = len(evidence.requests) > 1 or evidence.reported_crashes > 0
        targets = {crashed.run.target for crashed in evidence.processes}
        hit_most_services = 2 * len(targets) > max(service_count, CRASHES_TO_QUARANTINE)
        kind = VerdictKind.SUSPECT
        if crashes >= CRASHES_TO_QUARANTINE and (has_repeated or hit_most_services):
            kind = VerdictKind.QUARANTINED
        valid_s = QUARANTINED_S if kind is VerdictKind.QUARANTINED else SUSPECT_S
        return self._apply_own_verdict(fingerprint, kind, crashes, valid_s, now_s)

    def record_reply(self, fingerprint: Fingerprint, now_s: float) -> Verdict | None:
        """Records a successful reply, which clears the request if it is a suspect.

        Returns:
            The verdict to broadcast to peers, none unless the request was a suspect.
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
        """Applies verdicts of peers; returns those that were new."""
        new_verdicts = self._quarantine.apply_verdicts(verdicts, now_s)
        for verdict in new_verdicts:
            evidence = self._evidence(verdict.fingerprint, now_s)
            evidence.reported_crashes = max(evidence.reported_crashes, verdict.crashes)
            if verdict.kind is VerdictKind.CLEARED:
                evidence.has_succeeded = True
            else:
                evidence.last_crash_at_s = now_s
        return new_verdicts

    def verdicts_for_new_member(self, now_s: float) -> Verdicts | None:
        """Returns the verdicts to send to a new member, none if there are none."""
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
        if evidence is None or now_s - evidence.last_crash_at_s > SUSPECT_S:
            evidence = self._suspects[fingerprint] = _Evidence(now_s)
            while len(self._suspects) > SUSPECTS_MAX:
                self._suspects.popitem(last=False)
        return evidence
