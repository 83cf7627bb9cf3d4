"""Adoption of publications on this daemon.

A publication is adopted if its stamp is greater than the one in force, whether it comes
from the configuration service or from a peer. A publication that breaks a rule is
recorded with the reason, and the last valid one stays in force.
"""

import logging
from enum import Enum
from hashlib import blake2b
from typing import Final

from returns.result import Failure, Result, Success

from lavendertide.configuration.catalog import Catalog
from lavendertide.configuration.entries import STAMP_DIGEST_BYTES
from lavendertide.configuration.history import History
from lavendertide.configuration.refused import (
    RefusedPublication,
    conflict_refusal,
    extract_version,
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
MESSAGE_MAX_CHARS: Final = 500

_log = logging.getLogger(__name__)


class Source(Enum):
    """Origin of an adopted publication."""

    SERVICE = "service"
    PEER = "peer"


class Adoption(Enum):
    """Outcome of an attempt to adopt a publication."""

    ADOPTED = "adopted"
    NOT_NEWER = "not_newer"
    REFUSED = "refused"
    MISMATCHED = "mismatched"


class Configuration:
    """The publication in force, and the newest refused one since its adoption."""

    def __init__(self) -> None:
        self._revision: Revision | None = None
        self._catalog: Catalog | None = None
        self._history = History()
        self._refused: RefusedPublication | None = None
        self._last_text_digest = b""
        self._adopted_at_s = 0.0
        self._source = Source.SERVICE

    @property
    def version(self) -> ConfigurationVersion:
        """The version in force, zero before the first adoption."""
        return self.stamp.version

    @property
    def stamp(self) -> ConfigurationStamp:
        """Stamp of the publication in force, which orders publications."""
        return self._revision.stamp if self._revision else NO_STAMP

    @property
    def text(self) -> bytes:
        """The publication in force as JSON, empty before the first adoption."""
        return self._revision.text if self._revision else b""

    @property
    def refused(self) -> RefusedPublication | None:
        """The newest refused publication since the last adoption, if any."""
        return self._refused

    @property
    def adopted_at_s(self) -> float:
        """Monotonic time at which the publication in force was adopted."""
        return self._adopted_at_s

    @property
    def source(self) -> Source:
        """Origin of the publication in force."""
        return self._source

    @property
    def catalog(self) -> Result[Catalog, Refusal]:
        """Catalog of the version in force, a refusal before the first adoption."""
        if self._catalog is None:
            return Failure(
                Refusal(
                    RefusalKind.NOT_READY,
                    "No configuration has been received yet.",
                    "Use another address; check that the configuration service runs.",
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
            source: Origin of the text.
            expected: Stamp that a peer has sent with the text; a text with another
                stamp is a mismatch.
        """
        digest = _text_digest(text)
        if digest == self._last_text_digest:
            return Adoption.NOT_NEWER
        self._last_text_digest = digest
        match read_revision(text, self._revision):
            case Success(revision) if expected not in (None, revision.stamp):
                return Adoption.MISMATCHED
            case Success(revision):
                return self._adopt(revision, now_s, source)
            case Failure(refusal):
                stamp = ConfigurationStamp(extract_version(text), digest)
                self._record_refusal(stamp, refusal, now_s)
        return Adoption.REFUSED

    def adopt_delta(self, delta: ConfigurationDelta, now_s: float) -> Adoption:
        """Adopts the publication that a peer's delta leads to, if it is newer.

        A delta for another base, or one whose result has another stamp, is a mismatch.
        The full publication is then pulled from the peer.
        """
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
                self._record_refusal(delta.stamp, refusal, now_s)
        return Adoption.REFUSED

    def delta_since(self, base: ConfigurationStamp) -> ConfigurationDelta | None:
        """Returns the changes since a peer's stamp, none if it needs the full text."""
        if self._revision is None:
            return None
        return self._history.delta_since(base, self._revision)

    def apply_peer_stamp(self, stamp: ConfigurationStamp, now_s: float) -> None:
        """Records a conflict if a peer has another publication of the same version.

        Only one with a lower digest is recorded; one with a higher digest is adopted.
        """
        if stamp.version == self.version and stamp.digest < self.stamp.digest:
            self._record_conflict(stamp, now_s)

    def apply_peer_refusal(self, notice: ConfigurationRefusal, now_s: float) -> None:
        """Records a peer's refusal.

        It is ignored if the peer had an older version in force than this daemon has.
        """
        if notice.over_version >= self.version:
            self._record_refused(RefusedPublication(notice, now_s, is_own=False))

    def _adopt(self, revision: Revision, now_s: float, source: Source) -> Adoption:
        previous = self._revision
        if previous is not None and revision.stamp <= previous.stamp:
            self.apply_peer_stamp(revision.stamp, now_s)
            return Adoption.NOT_NEWER
        self._catalog = Catalog(revision.publication, self._catalog)
        self._revision = revision
        self._adopted_at_s = now_s
        self._source = source
        _log.info("configuration adopted", extra=_log_fields(revision.stamp))
        if previous is not None:
            self._history.record(previous, revision)
            self._clear_refusal(previous.stamp, now_s)
        return Adoption.ADOPTED

    def _clear_refusal(self, previous: ConfigurationStamp, now_s: float) -> None:
        if self._refused and self._refused.notice.over_version < self.version:
            self._refused = None
        self.apply_peer_stamp(previous, now_s)

    def _record_refusal(
        self, stamp: ConfigurationStamp, refusal: Refusal, now_s: float
    ) -> None:
        if NO_VERSION < stamp.version < self.version:
            return
        notice = ConfigurationRefusal(
            self.version, stamp, refusal.message[:MESSAGE_MAX_CHARS], refusal.remedy
        )
        self._record_refused(RefusedPublication(notice, now_s, is_own=True))

    def _record_conflict(self, superseded: ConfigurationStamp, now_s: float) -> None:
        self._record_refusal(
            superseded, conflict_refusal(superseded, self.stamp), now_s
        )

    def _record_refused(self, refused: RefusedPublication) -> None:
        recorded = self._refused
        if recorded is not None and refused.rank <= recorded.rank:
            return
        self._refused = refused
        stamp = refused.notice.stamp
        if recorded is None or recorded.notice.stamp != stamp:
            message = "publication refused: %s"
            _log.warning(message, refused.refusal, extra=_log_fields(stamp))


def _log_fields(stamp: ConfigurationStamp) -> dict[str, str | int]:
    return {"version": stamp.version, "digest": stamp.digest.hex()}


def _text_digest(text: bytes) -> ConfigurationDigest:
    digest = blake2b(text, digest_size=STAMP_DIGEST_BYTES)
    return ConfigurationDigest(digest.digest())
