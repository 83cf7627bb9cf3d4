"""Among how many hosts the fleet's budgets are divided."""

from typing import Final

# Assumed by a host that knows no other yet: the entry hosts of one site.
ASSUMED_HOSTS: Final = 16
# Hosts that are cut off still spend; a smaller number counts only after this time.
SHRINK_DELAY_S: Final = 60.0


class FleetSize:
    """The largest number of hosts that was known lately."""

    def __init__(self) -> None:
        self._hosts = ASSUMED_HOSTS
        self._updated_at_s: float | None = None

    @property
    def is_known(self) -> bool:
        """Whether any other host was ever known."""
        return self._updated_at_s is not None

    @property
    def hosts(self) -> int:
        """How many hosts to divide by."""
        return self._hosts

    def update(self, members: int, now_s: float) -> None:
        """Takes in how many hosts are known now, this one included."""
        if members <= 1:
            return
        is_expired = (
            self._updated_at_s is None or now_s - self._updated_at_s >= SHRINK_DELAY_S
        )
        if members >= self._hosts or is_expired:
            self._hosts = members
            self._updated_at_s = now_s
