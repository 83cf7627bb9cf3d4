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

ASKED_AT_ONCE: Final = 16
SERVING: Final = "serving"


@dataclass(frozen=True, slots=True)
class Answer:
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
    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        answers = list(pool.map(lambda admin: _ask(admin, key), admins))
    if as_json:
        output.show_json({"daemons": [_as_json(answer) for answer in answers]})
    else:
        _show(answers)
    sys.exit(_exit_code(answers))


def _ask(admin: str, key: str) -> Answer:
    return Answer(admin, AdminClient(admin, key).status())


def _show(answers: Sequence[Answer]) -> None:
    heads = ["admin", "daemon", "failure domain", "readiness", "configuration"]
    rows = [_row(answer) for answer in answers]
    output.show_table([*heads, "in flight", "reaches", "problem"], rows)


def _row(answer: Answer) -> list[object]:
    match answer.status:
        case Success(status):
            reached = sum(member.reachable for member in status.members)
            return [
                answer.admin,
                status.daemon,
                status.failure_domain,
                status.readiness,
                status.configuration,
                status.in_flight,
                f"{reached} of {len(status.members)}",
                status.refused,
            ]
    return [answer.admin, *[None] * 6, answer.status.failure().message]


def _as_json(answer: Answer) -> dict[str, object]:
    match answer.status:
        case Success(status):
            document = status.model_dump(mode="json")
            return {"admin": answer.admin, "status": document, "problem": None}
    problem = answer.status.failure().message
    return {"admin": answer.admin, "status": None, "problem": problem}


def _exit_code(answers: Sequence[Answer]) -> int:
    found = [answer.status.value_or(None) for answer in answers]
    known = [status for status in found if status is not None]
    if not known:
        failures = {output.exit_code_of(answer.status.failure()) for answer in answers}
        return max(failures)
    is_whole = len(known) == len(answers)
    are_well = all(status.readiness == SERVING for status in known)
    are_alike = len({status.configuration for status in known}) == 1
    none_refuses = not any(status.refused for status in known)
    if is_whole and are_well and are_alike and none_refuses:
        return 0
    return output.EXIT_REFUSED
