"""The command `route`: explains where gateways would send a request now."""

import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

import click
from returns.result import Result, Success

from lavendertide.command_line import output, parameters
from lavendertide.errors import Refusal
from lavendertide.gateway_client import GatewayClient

MAX_CONCURRENT_REQUESTS: Final = 16
COLD_KEYS: Final = (
    "target",
    "left_s",
    "allowance",
    "part",
    "sent",
    "given",
    "received",
)
DOMAIN_KEYS: Final = ("domain", "revision", "known_for_s", "in_flight")


@dataclass(frozen=True, slots=True)
class RouteResult:
    """The explanation of one gateway, or why it could not be read.

    Attributes:
        gateway: The gateway's metrics address.
    """

    gateway: str
    document: Result[dict[str, Any], Refusal]


@click.command()
@parameters.gateways
@click.option("--service", help="Show the targets of one service of a search.")
@click.argument("host", metavar="HOST")
@click.argument("path", metavar="PATH")
@parameters.as_json
def route(
    gateways: tuple[str, ...], service: str | None, host: str, path: str, as_json: bool
) -> None:
    """Explains where a request for PATH on HOST would go now, without sending it.

    With several gateways, one line compares each of them. The exit code is 0 if all
    gateways answer and would accept the request; 3 if none can be reached; 1 otherwise.
    """
    with ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS) as pool:
        documents = pool.map(
            lambda each: GatewayClient(each).explain(host, path), gateways
        )
        results = [
            RouteResult(gateway, document)
            for gateway, document in zip(gateways, documents, strict=True)
        ]
    if as_json:
        output.show_json({"gateways": [_to_json(result) for result in results]})
    elif len(results) > 1:
        _compare(results, service)
    else:
        _show(output.unwrap_or_exit(results[0].document), service)
    sys.exit(_exit_code(results))


def _show(document: dict[str, Any], service: str | None) -> None:
    route = document["route"] or {}
    # A gateway of an earlier release doesn't report it.
    store = document.get("store") or {}
    admission = document["admission"]
    limit = admission["limit"] or {}
    output.show_fields(
        [
            ("gateway", document["gateway"]),
            ("state", document["state"]),
            ("routes", document["routes"]["version"]),
            ("routes age (s)", document["routes"]["age_s"]),
            ("store era", store.get("era")),
            ("store revision", store.get("revision")),
            ("store read (s) ago", store.get("age_s")),
            ("route", route.get("name")),
            ("services required", route.get("required")),
            ("refused", admission["cause"]),
            ("retry after (s)", admission["retry_after_s"]),
            ("in flight", limit.get("in_flight")),
            ("limit", limit.get("limit")),
            ("admitted share", limit.get("admitted_share")),
        ]
    )
    if document["evacuated"]:
        click.echo()
        output.show_table(
            ["evacuated domain", "revision", "known for (s)", "in flight"],
            [[each[key] for key in DOMAIN_KEYS] for each in document["evacuated"]],
        )
    # A gateway of an earlier release doesn't report them.
    if cold := document.get("cold"):
        click.echo()
        headers = ["cold target", "left (s)", "allowance", "part", "sent", "given"]
        output.show_table(
            [*headers, "received"], [[each[key] for key in COLD_KEYS] for each in cold]
        )
    services = _select(document, service)
    if len(services) > 1:
        click.echo()
        _show_services(services)
    else:
        for each in services:
            click.echo()
            _show_targets(each)


def _show_services(services: Sequence[dict[str, Any]]) -> None:
    rows = []
    for each in services:
        candidates = _candidates(each)
        excluded = [t for t in each["targets"] if t["rank"] is None]
        reasons = sorted({str(target["reason"]) for target in excluded})
        first = candidates[0] if candidates else {}
        rows.append(
            [
                each["service"],
                each["is_next"],
                first.get("target"),
                first.get("score"),
                first.get("reason"),
                len(candidates),
                len(excluded),
                ", ".join(reasons),
            ]
        )
    headers = ["service", "next", "first target", "score", "but", "candidates"]
    output.show_table([*headers, "excluded", "because"], rows)


def _show_targets(service: dict[str, Any]) -> None:
    click.echo(f"targets of {service['service']}")
    rows = [
        [
            target["rank"],
            target["target"],
            target["failure_domain"],
            target["score"],
            target["slowness"],
            target["failure_rate"],
            target["open_calls"],
            target["slots"],
            target["attempt_age_s"],
            target["reason"],
            target["ends_in_s"],
        ]
        for target in service["targets"]
    ]
    headers = ["rank", "target", "failure domain", "score", "slowness", "failing"]
    headers += ["open", "slots", "age (s)", "reason", "ends in (s)"]
    output.show_table(headers, rows)


def _compare(results: Sequence[RouteResult], service: str | None) -> None:
    rows = [_comparison_row(result, service) for result in results]
    headers = ["gateway", "host", "state", "routes", "route", "refused"]
    headers += ["evacuated", "services with a target", "first targets", "problem"]
    output.show_table(headers, rows)


def _comparison_row(result: RouteResult, service: str | None) -> list[object]:
    match result.document:
        case Success(document):
            services = _select(document, service)
            first = [_candidates(each)[:1] for each in services]
            names = [target["target"] for each in first for target in each]
            return [
                result.gateway,
                document["gateway"],
                document["state"],
                document["routes"]["version"],
                (document["route"] or {}).get("name"),
                document["admission"]["cause"],
                ", ".join(domain["domain"] for domain in document["evacuated"]),
                f"{len(names)} of {len(services)}",
                ", ".join(names) if len(names) <= 1 else f"{names[0]}, ...",
                None,
            ]
    return [result.gateway, *[None] * 8, result.document.failure().message]


def _select(document: dict[str, Any], service: str | None) -> list[dict[str, Any]]:
    return [
        each
        for each in document["services"]
        if service is None or each["service"] == service
    ]


def _candidates(service: dict[str, Any]) -> list[dict[str, Any]]:
    return [target for target in service["targets"] if target["rank"] is not None]


def _to_json(result: RouteResult) -> dict[str, object]:
    match result.document:
        case Success(document):
            return {"address": result.gateway, "explanation": document, "problem": None}
    problem = result.document.failure().message
    return {"address": result.gateway, "explanation": None, "problem": problem}


def _exit_code(results: Sequence[RouteResult]) -> int:
    documents = [result.document.value_or(None) for result in results]
    answered = [document for document in documents if document is not None]
    if not answered:
        failures = {
            output.exit_code_of(result.document.failure()) for result in results
        }
        return max(failures)
    are_admitted = all(each["admission"]["cause"] is None for each in answered)
    if len(answered) == len(results) and are_admitted:
        return 0
    return output.EXIT_REFUSED
