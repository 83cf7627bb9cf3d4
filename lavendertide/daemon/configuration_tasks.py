"""The tasks that get the configuration from the platform's service and from peers."""

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


class ConfigurationTasks:
    """Keeps the configuration up to date.

    Args:
        options: The settings.
        configuration: The configuration that is active on this daemon.
        roster: The members among which the watchers of the service are chosen.
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
            self._may_watch_service,
            self._on_service_change,
        )

    @property
    def replication(self) -> ConfigurationReplication:
        """The exchange of publications with peers."""
        return self._replication

    def start(self, links: Callable[[], Sequence[Link]]) -> None:
        """Starts the tasks.

        Args:
            links: Returns the open links to peers.
        """
        tasks.spawn_supervised(self._watch.run)
        tasks.spawn_supervised(self._replication.run, links)

    def status(self, now_s: float) -> ConfigurationStatus:
        """Returns the status that the administration API reports."""
        return status_of(self._configuration, self._watch, self._replication, now_s)

    def _may_watch_service(self, now_s: float) -> bool:
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
