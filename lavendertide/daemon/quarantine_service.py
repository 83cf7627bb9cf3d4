"""Protects the fleet's targets from requests that crash them.

Verdicts are sent to all linked peers at once, and each daemon forwards those that are
new to it. A suspect request runs alone, once its home daemon has granted the region's
one trial of it.
"""

import logging
import random
import uuid
from typing import Final

from lavendertide.fleet.new_member_sync import NewMemberSync
from lavendertide.fleet.peers import Peers
from lavendertide.fleet.ranking import score
from lavendertide.fleet.roster import Roster
from lavendertide.ids import ExchangeId, Fingerprint
from lavendertide.messages import (
    MemberRecord,
    MemberState,
    SubRequest,
    TrialClaim,
    TrialGrant,
    Verdict,
    VerdictKind,
    Verdicts,
)
from lavendertide.poison.quarantine import Permission, Quarantine
from lavendertide.poison.trials import Trials
from lavendertide.queries.deadline import Deadline
from lavendertide.runtime import clock, tasks

GRANT_TIMEOUT_S: Final = 0.25
CLAIM_RETRY_S: Final = 0.02
TRIAL_MARGIN_S: Final = 0.25
FORWARD_PEERS: Final = 3

_log = logging.getLogger(__name__)


class QuarantineService:
    """The quarantine of one daemon, synchronized with those of its peers."""

    def __init__(self, roster: Roster, peers: Peers) -> None:
        self._own = roster.own
        self._roster = roster
        self._peers = peers
        self._quarantine = Quarantine()
        self._trials = Trials()
        self._claims: dict[ExchangeId, tasks.Mailbox[TrialGrant]] = {}
        self._new_member_sync = NewMemberSync(
            roster, peers, self._quarantine.verdicts_for_new_member
        )

    def permission(self, request: SubRequest, now_s: float) -> Permission:
        """Returns whether a request may run freely, only alone, or never."""
        return self._quarantine.permission(request.fingerprint, request.shard, now_s)

    def record_crash(self, request: SubRequest, was_alone: bool) -> None:
        """Records that a target closed the connection that carried a request."""
        verdict = self._quarantine.record_crash(
            request.fingerprint, request.shard, was_alone, clock.monotonic_s()
        )
        if verdict.kind is VerdictKind.QUARANTINED:
            _log.warning(
                "request condemned: a target crashed with nothing else in flight",
                extra={
                    "query": request.query,
                    "fingerprint": request.fingerprint,
                    "owner": request.owner,
                    "target": request.target,
                },
            )
        self._broadcast_verdict(verdict)

    def record_answer(self, request: SubRequest) -> None:
        """Clears a request that ran alone and was answered."""
        verdict = self._quarantine.clear(
            request.fingerprint, request.shard, clock.monotonic_s()
        )
        if verdict is not None:
            self._broadcast_verdict(verdict)

    def wait_for_trial(
        self, request: SubRequest, deadline: Deadline
    ) -> Permission | None:
        """Claims a trial from the home daemon until it is granted.

        Returns:
            `ALONE` after the grant, another permission if a verdict arrived meanwhile,
            none if neither arrived before the deadline.
        """
        while deadline.allows_attempt(now_s := clock.monotonic_s()):
            permission = self.permission(request, now_s)
            if permission is not Permission.ALONE:
                return permission
            duration_s = deadline.remaining_s(now_s) + TRIAL_MARGIN_S
            if self._is_granted(request.fingerprint, duration_s):
                return Permission.ALONE
            tasks.sleep(CLAIM_RETRY_S)
        return None

    def handle_verdicts(self, verdicts: Verdicts) -> None:
        """Applies a peer's verdicts and forwards the new ones to some peers."""
        self._end_trials(verdicts.items)
        new_verdicts = self._quarantine.apply_verdicts(
            verdicts.items, clock.monotonic_s()
        )
        if new_verdicts:
            links = self._peers.links
            for link in random.sample(links, min(FORWARD_PEERS, len(links))):
                link.send(Verdicts(tuple(new_verdicts)))

    def handle_claim(self, claim: TrialClaim) -> None:
        """Replies to a holder that claims a trial from this daemon as the home."""
        claimant = self._roster.find(claim.sender)
        if claimant is not None:
            is_granted = self._grant(claim.fingerprint, claim.duration_ms / 1000)
            grant = TrialGrant(claim.exchange, is_granted)
            self._peers.link_to(claimant).send(grant)

    def handle_grant(self, grant: TrialGrant) -> None:
        """Delivers a grant to the task that waits for it."""
        inbox = self._claims.get(grant.exchange)
        if inbox is not None:
            inbox.send(grant)

    def sync_new_members(self) -> None:
        """Sends all verdicts to new members; must be called often."""
        self._new_member_sync.send_to_new_members(clock.monotonic_s())

    def _broadcast_verdict(self, verdict: Verdict) -> None:
        self._end_trials((verdict,))
        for link in self._peers.links:
            link.send(Verdicts((verdict,)))

    def _end_trials(self, verdicts: tuple[Verdict, ...]) -> None:
        for verdict in verdicts:
            if verdict.kind is not VerdictKind.SUSPECT:
                self._trials.end(verdict.fingerprint)

    def _is_granted(self, fingerprint: Fingerprint, duration_s: float) -> bool:
        home = self._home_of(fingerprint)
        if home.daemon == self._own.daemon:
            return self._grant(fingerprint, duration_s)
        exchange = ExchangeId(uuid.uuid4().hex)
        duration_ms = int(duration_s * 1000)
        claim = TrialClaim(exchange, self._own.daemon, fingerprint, duration_ms)
        inbox: tasks.Mailbox[TrialGrant] = tasks.Mailbox()
        self._claims[exchange] = inbox
        try:
            if not self._peers.link_to(home).send(claim):
                return False
            grant = inbox.receive(GRANT_TIMEOUT_S)
            return grant is not None and grant.is_granted
        finally:
            del self._claims[exchange]

    def _grant(self, fingerprint: Fingerprint, duration_s: float) -> bool:
        now_s = clock.monotonic_s()
        if self._quarantine.is_quarantined(fingerprint, now_s):
            return False
        return self._trials.grant(fingerprint, duration_s, now_s)

    def _home_of(self, fingerprint: Fingerprint) -> MemberRecord:
        serving = [
            member
            for member in self._roster.members
            if member.region == self._own.region and member.state is MemberState.SERVING
        ]
        return max(
            serving,
            key=lambda member: score(fingerprint, member.daemon),
            default=self._own,
        )
