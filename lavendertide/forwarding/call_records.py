"""Records the ends of calls, and calls that become late, where they count.

A record that fails leaves the call itself alone: its reply still reaches the request,
and the call doesn't stay open, since open calls count as those of a stalled target.
"""

from collections.abc import Callable

from lavendertide.bookkeeping import Isolated
from lavendertide.forwarding.loss_risk import LossRisks, is_loss
from lavendertide.forwarding.messages import TargetReply
from lavendertide.forwarding.metrics import ForwardingMetrics
from lavendertide.forwarding.reply_recorder import ReplyRecorder
from lavendertide.forwarding.target_call import TargetCall
from lavendertide.forwarding.target_view import TargetViews
from lavendertide.ids import TargetId
from lavendertide.routes.route import Route


class CallRecords:
    """Passes what calls show to the aggregates that it concerns.

    Args:
        replies: Records what replies show.
        views: This host's statistics of targets.
        risks: The losses of targets; none where targets aren't chosen by them.
        metrics: The counters of the host.
        broadcast_stall: Notifies peers of a stalled target.
    """

    def __init__(
        self,
        replies: ReplyRecorder,
        views: TargetViews,
        risks: LossRisks | None,
        metrics: ForwardingMetrics,
        broadcast_stall: Callable[[TargetId], None],
    ) -> None:
        self._replies = replies
        self._views = views
        self._risks = risks
        self._metrics = metrics
        self._broadcast_stall = broadcast_stall

    def record_sent(self, call: TargetCall) -> None:
        """Counts a call that is about to be handed to a connection."""
        with Isolated("sub-request", call.request.request):
            self._metrics.sub_requests.inc()

    def record_end(
        self,
        call: TargetCall,
        route: Route,
        reply: TargetReply,
        service_count: int,
        now_s: float,
    ) -> None:
        """Records the end of a call.

        Args:
            call: The call.
            route: The route of its request.
            reply: How it has ended.
            service_count: Number of services that the request is sent to.
            now_s: Present time, monotonic.
        """
        with Isolated("reply", call.request.request):
            try:
                self._replies.record(call, route, reply, service_count, now_s)
            finally:
                view = self._views.find(call.record.target)
                if view is not None:
                    view.discard_call(call.number)
            if not call.is_repeatable and is_loss(reply):
                self._metrics.record_loss(reply)
            if self._risks is not None:
                self._risks.record(call, reply, now_s)

    def record_late(self, call: TargetCall, now_s: float) -> None:
        """Notifies peers of a stall, unless it is known or the call is only queued."""
        with Isolated("late call", call.request.request):
            view = self._views.find(call.record.target)
            if view is None:
                return
            is_stalled = view.is_stalled(now_s)
            load = view.capacity.fresh_load(now_s)
            self._metrics.record_late_call(load, is_stalled)
            if is_stalled and now_s >= view.stalled_until_s:
                self._broadcast_stall(call.record.target)
