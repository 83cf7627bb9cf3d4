"""The commands for operators that send a request to one daemon.

They show its status, configuration, plans, failure logs and targets, or drain it.
"""

import click

from lavendertide.admin_client import AdminClient
from lavendertide.command_line import output, parameters
from lavendertide.encodings.admin_json import (
    ConfigurationDocument,
    FailureLogDocument,
    PlanDocument,
    StatusDocument,
    TargetsDocument,
)


@click.command()
@parameters.admin
@parameters.admin_key
@parameters.as_json
def status(admin: str, key: str, as_json: bool) -> None:
    """Shows a daemon and its view of the fleet."""
    document = output.unwrap_or_exit(AdminClient(admin, key).status())
    if as_json:
        output.show_json(document)
    else:
        _show_status(document)


@click.command()
@parameters.admin
@parameters.admin_key
@parameters.as_json
def configuration(admin: str, key: str, as_json: bool) -> None:
    """Shows the configuration in force and why a publication was refused."""
    document = output.unwrap_or_exit(AdminClient(admin, key).configuration())
    if as_json:
        output.show_json(document)
    else:
        _show_configuration(document)


@click.command()
@parameters.admin
@parameters.admin_key
@parameters.as_json
@click.argument("name", required=False)
def plan(admin: str, key: str, as_json: bool, name: str | None) -> None:
    """Shows the limits, entitlements and usage of plan NAME; without it, all names."""
    client = AdminClient(admin, key)
    if name is None:
        plans = output.unwrap_or_exit(client.plans())
        if as_json:
            output.show_json(plans)
        else:
            output.show_table(["plan"], [[plan_name] for plan_name in plans.plans])
        return
    document = output.unwrap_or_exit(client.plan(name))
    if as_json:
        output.show_json(document)
    else:
        _show_plan(document)


@click.command()
@parameters.admin
@parameters.admin_key
@parameters.as_json
@click.option("--owner", help="Whose failures to show; an owner's key shows its own.")
@click.option("--entries", default=20, show_default=True, type=click.IntRange(min=0))
def books(admin: str, key: str, as_json: bool, owner: str | None, entries: int) -> None:
    """Shows the failures that a daemon recorded for an owner, with their faults."""
    document = output.unwrap_or_exit(
        AdminClient(admin, key).failure_log(owner, entries)
    )
    if as_json:
        output.show_json(document)
    else:
        _show_failure_log(document)


@click.command()
@parameters.admin
@parameters.admin_key
@parameters.as_json
def targets(admin: str, key: str, as_json: bool) -> None:
    """Shows the targets whose slots a daemon holds."""
    document = output.unwrap_or_exit(AdminClient(admin, key).targets())
    if as_json:
        output.show_json(document)
    else:
        _show_targets(document)


@click.command()
@parameters.admin
@parameters.admin_key
@parameters.as_json
def drain(admin: str, key: str, as_json: bool) -> None:
    """Starts a daemon's graceful shutdown.

    A second request ends the daemon at once, without waiting for its requests.
    """
    document = output.unwrap_or_exit(AdminClient(admin, key).drain())
    if as_json:
        output.show_json(document)
    else:
        click.echo(f"{document.daemon} is draining")


def _show_status(document: StatusDocument) -> None:
    output.show_fields(
        [
            ("daemon", document.daemon),
            ("host", document.host),
            ("place", f"{document.region} / {document.failure_domain}"),
            ("state", document.state),
            ("readiness", document.readiness),
            ("configuration", document.configuration),
            ("refused", document.refused),
            ("in flight", document.in_flight),
        ]
    )
    click.echo()
    output.show_table(
        ["member", "failure domain", "state", "reachable", "callers"],
        [
            [m.daemon, m.failure_domain, m.state, m.reachable, m.callers]
            for m in document.members
        ],
    )


def _show_configuration(document: ConfigurationDocument) -> None:
    output.show_fields(
        [
            ("version", document.version),
            ("digest", document.digest),
            ("adopted", output.format_time(document.adopted_at_s)),
            ("taken from", document.source),
            ("confirmed by peers", not document.needs_refresh),
            ("plans", document.plans),
            ("indexes", document.indexes),
            ("targets", document.targets),
            ("refused", document.refused),
            ("remedy", document.remedy),
            ("refused at", output.format_time(document.refused_at_s)),
            ("watches the service", document.service.watching),
            ("service last answered", _format_age(document.service.silence_s)),
            ("service problem", document.service.problem),
        ]
    )


def _format_age(ago_s: float | None) -> str | None:
    return None if ago_s is None else f"{ago_s:.0f} s ago"


def _show_plan(document: PlanDocument) -> None:
    here = document.here
    output.show_fields(
        [
            ("plan", f"{document.plan} of {document.owner} ({document.plan_class})"),
            ("rate", f"{document.rate_per_s:g} queries/s, burst {document.burst}"),
            ("concurrency", document.concurrency),
            ("allocators", ", ".join(document.allocators)),
        ]
    )
    click.echo()
    output.show_table(
        ["may use", "operations"],
        [
            [entitlement.index, ", ".join(entitlement.operations)]
            for entitlement in document.uses
        ],
    )
    click.echo()
    output.show_table(
        ["", "share", "demand/s", "rate/s", "ready now", "in flight", "concurrency"],
        [
            [
                here.daemon,
                here.share,
                here.demand_per_s,
                here.rate_per_s,
                here.tokens,
                here.in_flight,
                here.concurrency,
            ]
        ],
    )
    if document.fleet is not None:
        click.echo()
        rows = sorted(document.fleet.shares.items())
        output.show_table(["granted over the fleet", "share"], rows)
        demand_per_s = document.fleet.demand_per_s
        click.echo(f"{demand_per_s:.2f} queries/s reach the fleet")


def _show_failure_log(document: FailureLogDocument) -> None:
    click.echo(f"{document.owner}: {document.recorded} failures since the start")
    click.echo()
    output.show_table(
        ["kind", "reason", "fault", "count"],
        [
            [tally.kind, tally.reason, tally.fault, tally.count]
            for tally in sorted(document.tallies, key=lambda tally: -tally.count)
        ],
    )
    click.echo()
    output.show_table(
        ["time", "kind", "reason", "fault", "plan", "index", "shards", "query"],
        [
            [
                output.format_time(entry.at_s),
                entry.kind,
                entry.reason,
                entry.fault,
                entry.plan,
                entry.index,
                entry.shards,
                entry.query,
            ]
            for entry in document.entries
        ],
    )


def _show_targets(document: TargetsDocument) -> None:
    output.show_table(
        [
            "target",
            "owner",
            "failure domain",
            "state",
            "queued",
            "in use",
            "may use",
            "slots",
        ],
        [
            [
                target.target,
                target.owner,
                target.failure_domain,
                target.state,
                target.queued,
                target.slots_in_use,
                target.usable_slots,
                target.slots,
            ]
            for target in document.targets
        ],
    )
