"""The parts of a gateway that depend on the platform's formats."""

from collections.abc import Callable
from dataclasses import dataclass, field

from lavendertide.forwarding.target_call import TargetChannel
from lavendertide.gateway.caller_front import CallerCodec
from lavendertide.gateway.entry_front import EntryCodec
from lavendertide.gateway.publications import PlatformReader
from lavendertide.ids import Address
from lavendertide.overload.response_memory import ResponseMemory


@dataclass(frozen=True, slots=True)
class PlatformAdapters:
    """The parts that depend on the platform's formats, from `lavendertide.platform`.

    Attributes:
        reader: Reads what the platform publishes.
        make_channel: Makes a connection to a target.
        callers: Codec of callers' messages.
        entries: Codec of requests for readiness, metrics, addresses and reports.
        memory: The account of responses, also of those that channels read.
    """

    reader: PlatformReader
    make_channel: Callable[[Address], TargetChannel]
    callers: CallerCodec
    entries: EntryCodec
    memory: ResponseMemory = field(default_factory=ResponseMemory)
