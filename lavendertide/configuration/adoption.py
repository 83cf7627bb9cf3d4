"""Which publication is in force on this daemon.

Only a greater stamp is adopted, from whichever source it comes first: the service or
a peer. A publication that breaks a rule is remembered with the reason, and the last
good one stays in force.
"""

import logging
from enum import Enum
from hashlib import blake2b
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Catalog
from lavendertide.configuration.entries import WHOLE_DIGEST_BYTES
from lavendertide.configuration.history import History
from lavendertide.configuration.refused import (
    RefusedPublication,
    claimed_version,
    conflict_refusal,
)
from lavendertide.configuration.revision import Revision, apply_delta, read_revision
from lavendertide.errors import Fault, Refusal, RefusalKind
from lavendertide.ids import NO_VERSION, ConfigurationDigest, ConfigurationVersion
from lavendertide.messages import (
    ConfigurationDelta,
    ConfigurationRefusal,
    ConfigurationStamp,
)

NO_STAMP: Final = ConfigurationStamp(NO_VERSION, ConfigurationDigest(b""))
MESSAGE_MAX: Final = 500

_log = logging.getLogger(__name__)


class Source(Enum):
    """Where a publication came from."""

    SERVICE = "service"
    PEER = "peer"


class Adoption(Enum):
    """What became of a publication that was offered."""

    ADOPTED = "adopted"
    NOT_NEWER = "not_newer"
    REFUSED = "refused"
    MISMATCHED = "mismatched"


class Configuration:
    """The configuration in force, and what was refused since."""

    def __init__(self) -> None:
        self._revision: Revision | None = None
        self._catalog: Catalog | None = None
        self._history = History()
        self._refused: RefusedPublication | None = None
        self._seen_digest = b""
        self._adopted_at_s = 0.0
        self._source = Source.SERVICE

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, zero before the first."""
        return self.stamp.version

    @property
    def stamp(self) -> ConfigurationStamp:
        """Version and digest of the publication in force."""
        return self._revision.stamp if self._revision else NO_STAMP

    @property
    def text(self) -> bytes:
        """The publication in force as JSON, empty before the first."""
        return self._revision.text if self._revision else b""

    @property
    def refused(self) -> RefusedPublication | None:
        """The newest refused publication, if any came after the one in force."""
        return self._refused

    @property
    def adopted_at_s(self) -> float:
        """When the publication in force was adopted, monotonic."""
        return self._adopted_at_s

    @property
    def source(self) -> Source:
        """Where the publication in force came from."""
        return self._source

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

    def adopt_text(
        self,
        text: bytes,
        now_s: float,
        source: Source = Source.SERVICE,
        expected: ConfigurationStamp | None = None,
    ) -> Adoption:
        """Adopts a publication if it is valid and newer.

        Args:
            text: Both lists as JSON.
            now_s: Present time, monotonic.
            source: Where the text came from.
            expected: The stamp that a peer has announced.
        """
        digest = _text_digest(text)
        if digest == self._seen_digest:
            return Adoption.NOT_NEWER
        self._seen_digest = digest
        match read_revision(text, self._revision):
            case Success(revision) if expected not in (None, revision.stamp):
                return Adoption.MISMATCHED
            case Success(revision):
                return self._adopt(revision, now_s, source)
            case Failure(refusal):
                stamp = ConfigurationStamp(claimed_version(text), digest)
                self._refuse(stamp, refusal, now_s)
        return Adoption.REFUSED

    def adopt_delta(self, delta: ConfigurationDelta, now_s: float) -> Adoption:
        """Adopts what a peer says has changed since the publication in force."""
        if delta.stamp <= self.stamp:
            return Adoption.NOT_NEWER
        if self._revision is None or delta.base != self.stamp:
            return Adoption.MISMATCHED
        match apply_delta(self._revision, delta):
            case Success(revision) if revision.stamp == delta.stamp:
                return self._adopt(revision, now_s, Source.PEER)
            case Success(_):
                return Adoption.MISMATCHED
            case Failure(refusal):
                self._refuse(delta.stamp, refusal, now_s)
        return Adoption.REFUSED

    def delta_since(self, base: ConfigurationStamp) -> ConfigurationDelta | None:
        """Returns what a peer lacks, none if it needs the whole."""
        if self._revision is None:
            return None
        return self._history.delta(base, self._revision)

    def hear_stamp(self, stamp: ConfigurationStamp, now_s: float) -> None:
        """Takes in which publication is in force on a peer."""
        if stamp.version == self.version and stamp.digest < self.stamp.digest:
            self._note_conflict(stamp, now_s)

    def hear_refusal(self, notice: ConfigurationRefusal, now_s: float) -> None:
        """Takes in which publication a peer has refused."""
        if notice.over_version >= self.version:
            self._keep_newest(RefusedPublication(notice, now_s, is_own=False))

    def _adopt(self, revision: Revision, now_s: float, source: Source) -> Adoption:
        before = self._revision
        if before is not None and revision.stamp <= before.stamp:
            self.hear_stamp(revision.stamp, now_s)
            return Adoption.NOT_NEWER
        self._catalog = Catalog(revision.publication, self._catalog)
        self._revision = revision
        self._adopted_at_s = now_s
        self._source = source
        _log.info("configuration adopted", extra=_log_fields(revision.stamp))
        if before is not None:
            self._history.record(before, revision)
            self._forget_refusal(before.stamp, now_s)
        return Adoption.ADOPTED

    def _forget_refusal(self, before: ConfigurationStamp, now_s: float) -> None:
        if self._refused and self._refused.notice.over_version < self.version:
            self._refused = None
        self.hear_stamp(before, now_s)

    def _refuse(
        self, stamp: ConfigurationStamp, refusal: Refusal, now_s: float
    ) -> None:
        if NO_VERSION < stamp.version < self.version:
            return
        notice = ConfigurationRefusal(
            self.version, stamp, refusal.message[:MESSAGE_MAX], refusal.remedy
        )
        self._keep_newest(RefusedPublication(notice, now_s, is_own=True))

    def _note_conflict(self, loser: ConfigurationStamp, now_s: float) -> None:
        self._refuse(loser, conflict_refusal(loser, self.stamp), now_s)

    def _keep_newest(self, refused: RefusedPublication) -> None:
        known = self._refused
        if known is not None and refused.rank <= known.rank:
            return
        self._refused = refused
        stamp = refused.notice.stamp
        if known is None or known.notice.stamp != stamp:
            message = "publication refused: %s"
            _log.warning(message, refused.refusal, extra=_log_fields(stamp))


def _log_fields(stamp: ConfigurationStamp) -> dict[str, str | int]:
    return {"version": stamp.version, "digest": stamp.digest.hex()}


def _text_digest(text: bytes) -> ConfigurationDigest:
    digest = blake2b(text, digest_size=WHOLE_DIGEST_BYTES)
    return ConfigurationDigest(digest.digest())
