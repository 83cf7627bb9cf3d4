"""Completes the run of a request, so that it has a true response in any case."""

from lavendertide.bookkeeping import Isolated
from lavendertide.forwarding.messages import (
    CallerRequest,
    Failed,
    RefusalCause,
    Response,
)
from lavendertide.forwarding.request_log import log_failure, response_outcome
from lavendertide.forwarding.run import RequestRun


def complete_run(run: RequestRun, request: CallerRequest) -> Response:
    """Completes a run and returns the response, also after an unexpected exception.

    A refusal promises that no target has run the request. It is the response to a
    failed run only if that is certain.
    """
    try:
        return run.complete()
    except Exception:
        response: Response = Failed(RefusalCause.INTERNAL_ERROR, False)
        with Isolated("failed run", request.request):
            response = run.fail()
        log_failure(request.request, response_outcome(response))
        return response
