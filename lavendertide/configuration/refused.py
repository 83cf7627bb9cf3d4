"""Refused publications and the messages that explain the refusal."""

import json
from dataclasses import dataclass

from lavendertide.configuration.lists import VERSION_MAX
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import NO_VERSION, ConfigurationVersion
from lavendertide.messages import ConfigurationRefusal, ConfigurationStamp


@dataclass(frozen=True, slots=True)
class RefusedPublication:
    """A refused publication and the reason.

    Attributes:
        notice: The refusal as it is sent to peers.
        refused_at_s: Monotonic time at which this daemon refused the publication or
            received the refusal from a peer.
        is_own: Whether this daemon has checked the publication itself.
    """

    notice: ConfigurationRefusal
    refused_at_s: float
    is_own: bool

    @property
    def refusal(self) -> Refusal:
        """The refusal with its reason and remedy, as operators see it."""
        return Refusal(
            RefusalKind.BAD_PUBLICATION,
            self.notice.message,
            self.notice.remedy,
            Fault.CALLER,
        )

    @property
    def rank(self) -> tuple[ConfigurationVersion, ConfigurationStamp, bool]:
        """Order of refusals, of which the one with the greatest rank is shown."""
        return self.notice.over_version, self.notice.stamp, self.is_own


def conflict_refusal(
    superseded: ConfigurationStamp, in_force: ConfigurationStamp
) -> Refusal:
    """Returns the refusal of one of two publications with the same version."""
    return Refusal(
        RefusalKind.BAD_PUBLICATION,
        f"Version {superseded.version} was published twice with different content: "
        f"digest {in_force.digest.hex()} is in force everywhere, "
        f"{superseded.digest.hex()} is not.",
        "Agree on one content and publish it under a higher version.",
        Fault.CALLER,
    )


def extract_version(text: bytes) -> ConfigurationVersion:
    """Returns the version of a refused publication, zero if it cannot be parsed."""
    try:
        document = json.loads(text)
        versions = [int(document[part]["version"]) for part in ("plans", "uses")]
    except (ValueError, TypeError, LookupError, OverflowError, RecursionError):
        return NO_VERSION
    return ConfigurationVersion(min(VERSION_MAX, max(0, *versions)))
