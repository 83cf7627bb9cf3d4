"""Decides whether a call that has waited for a connection may still be sent.

A call may wait for as long as its caller does. Meanwhile its target may drain, leave,
end, start anew or ask for a pause, another target may have taken over its address, and
the request itself may turn out to crash its targets.
"""

from lavendertide.forwarding.messages import NotRunReason
from lavendertide.forwarding.poison import CrashEvidence
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.registry.registry import TargetRegistry
from lavendertide.warmup.cold_targets import ColdTargets


class SendCheck:
    """Checks calls against what is known now, by the rules that choose targets."""

    def __init__(
        self,
        registry: TargetRegistry,
        views: TargetViews,
        crashes: CrashEvidence,
        cold: ColdTargets | None = None,
    ) -> None:
        self._registry = registry
        self._views = views
        self._crashes = crashes
        self._cold = cold or ColdTargets()

    def blocking_reason(
        self, call: TargetCall, now_s: float, is_sending: bool = False
    ) -> NotRunReason | None:
        """Returns the reason why a call must not be sent; none if it may be.

        Args:
            call: The call.
            now_s: Present time, monotonic.
            is_sending: Whether the call is sent now unless there is a reason. Only then
                it counts among the requests to its target.
        """
        record = call.record
        if call.is_cancelled or now_s >= call.ends_at_s:
            return NotRunReason.ABANDONED
        if self._crashes.is_quarantined(call.request.fingerprint, now_s):
            return NotRunReason.QUARANTINED
        if self._registry.is_paused(record, now_s):
            return NotRunReason.PAUSED
        is_replaced = not self._views.select_usable((record,), now_s)
        if is_replaced or not self._registry.is_accepting(record, now_s):
            return NotRunReason.WITHDRAWN
        may_send = self._cold.try_send if is_sending else self._cold.is_allowed
        if not may_send(record, now_s):
            return NotRunReason.COLD
        view = self._views.find(record.target) if is_sending else None
        if view is not None:
            view.record_connected(call.number, now_s)
        return None
