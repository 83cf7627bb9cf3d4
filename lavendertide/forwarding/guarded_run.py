"""Completes the run of a request, so that it has a true response in any case."""

from lavendertide.bookkeeping import Isolated
from lavendertide.forwarding.messages import (
    CallerRequest,
    Failed,
    RefusalCause,
    Refused,
    Response,
)
from lavendertide.forwarding.request_log import log_failure, response_outcome
from lavendertide.forwarding.run import INTERNAL_ERROR_RETRY_S, RequestRun


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
        with Isolated("log", request.request):
            log_failure(request.request, response_outcome(response))
        return response


def refuse_failed(request: CallerRequest) -> Refused:
    """Refuses a request that an exception has ended before it was sent to a target."""
    refused = Refused(RefusalCause.INTERNAL_ERROR, INTERNAL_ERROR_RETRY_S)
    with Isolated("log", request.request):
        log_failure(request.request, response_outcome(refused))
    return refused
