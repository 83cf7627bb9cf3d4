"""How one daemon gets its configuration: from the service and from its peers."""

from collections.abc import Callable, Sequence

from lavendertide.configuration.adoption import Configuration
from lavendertide.configuration.replication import ConfigurationReplication, Link
from lavendertide.configuration.service_watch import ServiceWatch
from lavendertide.configuration.status import ConfigurationStatus, status_of
from lavendertide.configuration.watchers import is_watcher
from lavendertide.encodings.platform_http import HttpConfigurationReader
from lavendertide.fleet.roster import SILENCE_S, Roster
from lavendertide.ids import Address
from lavendertide.options import Options
from lavendertide.runtime import tasks


class Configuring:
    """Runs the tasks that keep the configuration up to date.

    Args:
        options: The settings.
        configuration: What is in force here.
        roster: Says who else watches the service.
        on_change: Called after a publication has been adopted.
        now_s: Present time.
    """

    def __init__(
        self,
        options: Options,
        configuration: Configuration,
        roster: Roster,
        on_change: Callable[[], None],
        now_s: float,
    ) -> None:
        self._configuration = configuration
        self._roster = roster
        self._on_change = on_change
        seeds = options.fleet.seeds
        others = sum(seed != options.addresses.peers for seed in seeds)
        self._replication = ConfigurationReplication(
            configuration, others, on_change, now_s
        )
        self._watch = ServiceWatch(
            HttpConfigurationReader(Address(options.platform.configuration)),
            configuration,
            self._has_role,
            self._on_service_change,
        )

    @property
    def replication(self) -> ConfigurationReplication:
        """What passes publications between peers."""
        return self._replication

    def start(self, links: Callable[[], Sequence[Link]]) -> None:
        """Starts the tasks.

        Args:
            links: Returns the open links to peers.
        """
        tasks.spawn(self._watch.run)
        tasks.spawn(self._replication.run, links)

    def status(self, now_s: float) -> ConfigurationStatus:
        """Returns what operators are shown."""
        return status_of(self._configuration, self._watch, self._replication, now_s)

    def _has_role(self, now_s: float) -> bool:
        if not self._replication.may_read_service(now_s):
            return False
        reachable = [
            member
            for member in self._roster.serving
            if self._roster.is_reachable(member.daemon, SILENCE_S, now_s)
        ]
        return is_watcher(self._roster.own, reachable, self._configuration.version)

    def _on_service_change(self) -> None:
        self._on_change()
        self._replication.trigger_offer()
