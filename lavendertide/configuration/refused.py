"""Publications that were refused, and the words for it."""

import json
from dataclasses import dataclass

from lavendertide.configuration.lists import VERSION_MAX
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import NO_VERSION, ConfigurationVersion
from lavendertide.messages import ConfigurationRefusal, ConfigurationStamp


@dataclass(frozen=True, slots=True)
class RefusedPublication:
    """The newest publication that was refused, and why.

    Attributes:
        notice: The refusal as peers are told of it.
        refused_at_s: When this daemon refused it or heard of it, monotonic.
        is_own: Whether this daemon has checked it itself.
    """

    notice: ConfigurationRefusal
    refused_at_s: float
    is_own: bool

    @property
    def refusal(self) -> Refusal:
        """The reason and its remedy."""
        return Refusal(
            RefusalKind.BAD_PUBLICATION,
            self.notice.message,
            self.notice.remedy,
            Fault.CALLER,
        )

    @property
    def rank(self) -> tuple[ConfigurationVersion, ConfigurationStamp, bool]:
        """Of two refusals the one with the greater rank is shown."""
        return self.notice.over_version, self.notice.stamp, self.is_own


def conflict_refusal(
    superseded: ConfigurationStamp, in_force: ConfigurationStamp
) -> Refusal:
    """Returns why one of two publications of a version does not count."""
    return Refusal(
        RefusalKind.BAD_PUBLICATION,
        f"Version {superseded.version} was published twice with different content: "
        f"digest {in_force.digest.hex()} is in force everywhere, "
        f"{superseded.digest.hex()} is not.",
        "Agree on one content and publish it under a higher version.",
        Fault.CALLER,
    )


def extract_version(text: bytes) -> ConfigurationVersion:
    """Returns the version that a refused publication bears, zero if none is legible."""
    try:
        document = json.loads(text)
        versions = [int(document[part]["version"]) for part in ("plans", "uses")]
    except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
        return NO_VERSION
    return ConfigurationVersion(min(VERSION_MAX, max(0, *versions)))
