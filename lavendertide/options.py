"""The daemon's settings: one typed options object.

`lavendertide.encodings.settings_yaml` reads it from a YAML file. Every key is checked
here; unknown keys are refused.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

IpPort = Annotated[str, StringConstraints(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Section(BaseModel):
    """A section of the settings; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PlaceOptions(_Section):
    """Where the daemon is.

    Attributes:
        daemon: Name of the process, unique in the fleet.
        host: Name of the host that it shares with other daemons.
    """

    daemon: Name
    host: Name
    region: Name
    failure_domain: Name


class AddressOptions(_Section):
    """Where the daemon listens.

    Attributes:
        callers: For callers' HTTP.
        peers: For the other daemons.
        admin: For the administration API and metrics.
    """

    callers: IpPort
    peers: IpPort
    admin: IpPort


class PlatformOptions(_Section):
    """Where the platform's services are, as base addresses."""

    configuration: IpPort
    membership: IpPort


class FleetOptions(_Section):
    """How the daemons find and trust each other.

    Attributes:
        key: Shared secret of the fleet.
        seeds: Peer addresses to ask first.
        heartbeat_s: Time between two heartbeats to a peer.
        lease_s: How long an answered heartbeat is good for.
        removal_s: How long a member is suspect before it can be removed.
        address_lifetime_s: How long callers may keep an address answer, and how long
            a leaving daemon goes on taking requests.
        drain_bound_s: How long a leaving daemon then waits for requests in flight.
    """

    key: Annotated[str, Field(min_length=16)]
    seeds: tuple[IpPort, ...] = ()
    heartbeat_s: Annotated[float, Field(gt=0, le=5)] = 0.5
    lease_s: Annotated[float, Field(gt=0, le=30)] = 2.0
    removal_s: Annotated[float, Field(gt=0, le=600)] = 10.0
    address_lifetime_s: Annotated[float, Field(gt=0, le=600)] = 10.0
    drain_bound_s: Annotated[float, Field(gt=0, le=600)] = 30.0


class FaultOptions(_Section):
    """Link faults for tests; without this section there are none.

    Attributes:
        rules: The JSON file with the rules, read again and again.
    """

    rules: str


class QueryOptions(_Section):
    """Bounds of a query.

    Attributes:
        deadline_max_ms: The longest deadline that a caller may ask for.
        body_max_bytes: The largest request body.
        rows_max: The largest page that a caller may ask for.
        in_flight_max: Queries that one process runs at a time.
    """

    deadline_max_ms: Annotated[int, Field(ge=10, le=60_000)] = 2_000
    body_max_bytes: Annotated[int, Field(ge=256)] = 16_384
    rows_max: Annotated[int, Field(ge=1, le=10_000)] = 200
    in_flight_max: Annotated[int, Field(ge=1)] = 512


class Options(_Section):
    """All settings of one daemon."""

    place: PlaceOptions
    addresses: AddressOptions
    platform: PlatformOptions
    fleet: FleetOptions
    queries: QueryOptions = QueryOptions()
    faults: FaultOptions | None = None
