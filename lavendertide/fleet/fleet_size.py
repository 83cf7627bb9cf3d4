"""Tracks the number of hosts among which the fleet's budgets are divided."""

from typing import Final

# Assumed while no other host is known: the entry hosts of one site.
ASSUMED_HOSTS: Final = 16
# Hosts that are cut off still spend their share, so a smaller number takes effect only
# after this time.
SHRINK_DELAY_S: Final = 60.0


class FleetSize:
    """The largest number of hosts that was known recently.

    Growth takes effect at once, shrinkage after `SHRINK_DELAY_S`.
    """

    def __init__(self) -> None:
        self._hosts = ASSUMED_HOSTS
        self._updated_at_s: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether another host was ever known."""
        return self._updated_at_s is not None

    @property
    def hosts(self) -> int:
        """Number of hosts to divide the budgets by."""
        return self._hosts

    def update(self, members: int, now_s: float) -> None:
        """Records how many hosts are known now, this one included."""
        if members <= 1:
            return
        is_expired = (
            self._updated_at_s is None or now_s - self._updated_at_s >= SHRINK_DELAY_S
        )
        if members >= self._hosts or is_expired:
            self._hosts = members
            self._updated_at_s = now_s
