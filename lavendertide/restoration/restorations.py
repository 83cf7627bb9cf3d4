"""Tells from the era of an answer whether the platform's store was restored.

Load pattern: none; the store is away for a moment and comes back from a copy that is
some seconds old, while requests go on.

A store that is restored loses what it has acknowledged since the copy was made. What
was written then is written again some time later. Until then a host goes by what it
knew before, so that no write is undone that will be made again. Hosts that disagree on
the era each go by the latest that they have seen; the store's next answer tells those
that are behind.
"""

import logging
from enum import Enum
from typing import Final

from lavendertide.ids import StoreEra
from lavendertide.restoration.position import UNNAMED_ERA

# Time after a restoration within which the operator and the targets write again what
# the copy lacks; after that the store is believed in all.
REWRITE_S: Final = 10.0

_log = logging.getLogger(__name__)


class Continuity(Enum):
    """How an answer relates to what was read before."""

    CONTINUED = "continued"
    # The store was restored since; what was read before can't be continued.
    RESTORED = "restored"
    # The answer is of an earlier era than one that is known, and says nothing.
    OUTDATED = "outdated"


class Restorations:
    """The latest era of the store that this host knows."""

    def __init__(self) -> None:
        self._era: StoreEra | None = None
        self._count = 0

    @property
    def era(self) -> StoreEra | None:
        """The latest known era; none before the first answer."""
        return self._era

    @property
    def count(self) -> int:
        """How often the store was restored since this host started."""
        return self._count

    def record(self, era: StoreEra) -> Continuity:
        """Records the era of an answer, of the store or of a peer.

        Eras that follow the unnamed one don't count as restorations.
        """
        known = self._era
        if known is not None and era < known:
            return Continuity.OUTDATED
        self._era = era
        if known is None or era == known:
            return Continuity.CONTINUED
        if known == UNNAMED_ERA:
            # A host can't know whether the store was restored or only names its era.
            _log.info("store names its era; reading everything", extra={"era": era})
            return Continuity.RESTORED
        self._count += 1
        _log.warning(
            "store restored from an older copy; reading everything",
            extra={"era": era, "previous_era": known},
        )
        return Continuity.RESTORED
