"""Which publication is in force on this daemon.

Only a higher version is adopted, from whichever source it comes first: the service or
a peer. A publication that breaks a rule is remembered with the reason, and the last
good one stays in force.
"""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Catalog
from lavendertide.configuration.rules import check_publication
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import ConfigurationVersion

NO_VERSION = ConfigurationVersion(0)


@dataclass(frozen=True, slots=True)
class RefusedPublication:
    """The newest publication that was refused, and why."""

    refusal: Refusal
    refused_at_s: float


class Configuration:
    """The configuration in force, and what was refused since."""

    def __init__(self) -> None:
        self._catalog: Catalog | None = None
        self._text = b""
        self._refused: RefusedPublication | None = None

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, zero before the first."""
        return self._catalog.version if self._catalog else NO_VERSION

    @property
    def text(self) -> bytes:
        """The publication in force, as published."""
        return self._text

    @property
    def refused(self) -> RefusedPublication | None:
        """The newest refused publication, if any came after the one in force."""
        return self._refused

    @property
    def catalog(self) -> Result[Catalog, Refusal]:
        """The look-ups of the version in force."""
        if self._catalog is None:
            return Failure(
                Refusal(
                    RefusalKind.NOT_READY,
                    "No configuration has been received yet.",
                    "Use another address; see whether the configuration service runs.",
                    Fault.SYSTEM,
                )
            )
        return Success(self._catalog)

    def offer(self, text: bytes, now_s: float) -> bool:
        """Adopts a publication if it is valid and newer.

        Returns:
            Whether it is now in force and was not before.
        """
        if text == self._text:
            return False
        match check_publication(text):
            case Success(publication):
                if publication.plans.version <= self.version:
                    return False
                self._catalog = Catalog(publication)
                self._text = text
                self._refused = None
                return True
            case Failure(refusal):
                self._refused = RefusedPublication(refusal, now_s)
        return False
