"""The log lines of one request's run."""

from lavendertide.forwarding.deadlines import ResponseDeadlines
from lavendertide.forwarding.messages import CallerRequest, Response
from lavendertide.forwarding.missing import MissingPart
from lavendertide.forwarding.parts import Part
from lavendertide.forwarding.request_log import log_end, log_repeat, response_outcome
from lavendertide.forwarding.sender import SubRequestSender
from lavendertide.registry.record import TargetRecord
from lavendertide.routes.route import Route


class RunLog:
    """Logs the repeats and the end of one request.

    Args:
        sender: Knows the budgets and the routes in force.
        request: The request.
        route: The route under which it runs.
        parts: Its parts.
        deadlines: When the response has to leave this host.
    """

    def __init__(
        self,
        sender: SubRequestSender,
        request: CallerRequest,
        route: Route,
        parts: list[Part],
        deadlines: ResponseDeadlines,
    ) -> None:
        self._sender = sender
        self._request = request
        self._route = route
        self._parts = parts
        self._deadlines = deadlines

    def log_repeat(
        self, part: Part, record: TargetRecord, cause: str, is_sent: bool, now_s: float
    ) -> None:
        """Logs that a part is sent again, or that the budget doesn't allow it."""
        remaining = self._sender.remaining_budget(part.service, now_s)
        log_repeat(self._request, part, record.target, cause, is_sent, remaining, now_s)

    def log_end(
        self, response: Response, missing: list[MissingPart], extra: int, now_s: float
    ) -> None:
        """Logs the end of the request."""
        log_end(
            self._request,
            self._route,
            self._sender.routes_age(now_s),
            response_outcome(response),
            self._parts,
            missing,
            extra,
            self._deadlines,
            now_s,
        )
