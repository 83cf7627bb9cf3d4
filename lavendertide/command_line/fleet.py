"""The command `fleet`: compares the status of several daemons."""

import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Final

import click
from returns.result import Result, Success

from lavendertide.admin_client import AdminClient
from lavendertide.command_line import output, parameters
from lavendertide.encodings.admin_json import StatusDocument
from lavendertide.errors import Refusal

MAX_CONCURRENT_REQUESTS: Final = 16
SERVING: Final = "serving"


@dataclass(frozen=True, slots=True)
class StatusResult:
    """The status of one daemon, or why it could not be read.

    Attributes:
        admin: The daemon's address for operators.
    """

    admin: str
    status: Result[StatusDocument, Refusal]


@click.command()
@parameters.admins
@parameters.admin_key
@parameters.as_json
def fleet(admins: tuple[str, ...], key: str, as_json: bool) -> None:
    """Compares several daemons, one line each.

    The exit code is 0 if all daemons answer, serve, have the same configuration and
    refuse none; 3 if none of them can be reached; 1 otherwise.
    """
    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        results = list(pool.map(lambda admin: _request_status(admin, key), admins))
    if as_json:
        output.show_json({"daemons": [_to_json(result) for result in results]})
    else:
        _show_results(results)
    sys.exit(_exit_code(results))


def _request_status(admin: str, key: str) -> StatusResult:
    return StatusResult(admin, AdminClient(admin, key).status())


def _show_results(results: Sequence[StatusResult]) -> None:
    headers = ["admin", "daemon", "failure domain", "readiness", "configuration"]
    rows = [_row(result) for result in results]
    output.show_table([*headers, "in flight", "reaches", "problem"], rows)


def _row(result: StatusResult) -> list[object]:
    match result.status:
        case Success(status):
            reached = sum(member.reachable for member in status.members)
            return [
                result.admin,
                status.daemon,
                status.failure_domain,
                status.readiness,
                status.configuration,
                status.in_flight,
                f"{reached} of {len(status.members)}",
                status.refused,
            ]
    return [result.admin, *[None] * 6, result.status.failure().message]


def _to_json(result: StatusResult) -> dict[str, object]:
    match result.status:
        case Success(status):
            document = status.model_dump(mode="json")
            return {"admin": result.admin, "status": document, "problem": None}
    problem = result.status.failure().message
    return {"admin": result.admin, "status": None, "problem": problem}


def _exit_code(results: Sequence[StatusResult]) -> int:
    statuses = [result.status.value_or(None) for result in results]
    reported = [status for status in statuses if status is not None]
    if not reported:
        failures = {output.exit_code_of(result.status.failure()) for result in results}
        return max(failures)
    all_reported = len(reported) == len(results)
    all_serve = all(status.readiness == SERVING for status in reported)
    have_same_configuration = len({status.configuration for status in reported}) == 1
    have_no_refusal = not any(status.refused for status in reported)
    if all_reported and all_serve and have_same_configuration and have_no_refusal:
        return 0
    return output.EXIT_REFUSED
