"""Runs gateways, targets and the store, and injects the planned faults."""

import random
import threading
import time
from pathlib import Path
from typing import Final

from soak.faults import (
    ConfigurationChange,
    ConfigurationGrown,
    Fault,
    GatewayKilled,
    GatewayPaused,
    GatewayStopped,
    LimitsChanged,
    PlannedFault,
    PrioritiesChanged,
    RouteMoved,
    RouteRemoved,
    RoutesChanged,
    SettingsReloaded,
    ShardsChanged,
    StoreFault,
    StoreRestored,
    StoreStalled,
    StoreUnavailable,
    TargetDelayed,
    TargetFault,
    TargetReplaced,
    TargetRepliesLost,
    TargetReset,
    TargetStalled,
    VersionsPublished,
)
from soak.gateways import GATEWAYS, FaultRecord, GatewayFaults
from soak.operator import (
    OperatorConfiguration,
    Period,
    PublishedVersion,
    PublishedVersions,
)
from soak.proxy import FaultyProxy, ProxyMode
from soak.published import PublishedEntries
from standins.gateway_process import (
    GatewayProcess,
    wait_until,
)
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

# The service of each target. Every service has two, so that a retry finds another one.
SERVICES: Final = (
    *("desk", "desk", "shard-0", "shard-0", "shard-1", "shard-1"),
    *("other", "other"),
)
# Time that a request runs; long enough that a fault always hits some running ones.
WORK_S: Final = 0.05
# Time for which a leaving target still replies, as the platform's protocol allows.
LEAVING_S: Final = 1.0
# Admission by priority looks up the class of a request while the table may change.
GATEWAY_SETTINGS: Final = "contracts=pressure\n"


class SoakEnvironment:
    """Runs the processes, targets and proxies of one soak test.

    Args:
        folder: Folder for settings and logs.

    Attributes:
        gateways: The gateways, by their number.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._ports = PortBlock()
        self._store = PlatformStore()
        self._published = PublishedEntries(self._store)
        self._store_proxy = FaultyProxy(self._store.address)
        self._configuration = OperatorConfiguration()
        self._version_steps = random.Random(0)
        self._targets: list[PlainTarget] = []
        self._proxies: list[FaultyProxy] = []
        self._all_targets: list[PlainTarget] = []
        self._publishing = threading.Lock()
        self._store_disturbances: list[Period] = []
        self._versions = PublishedVersions()
        self._draining: dict[str, float] = {}
        self._replaced_proxies: list[FaultyProxy] = []
        self.gateways: list[GatewayProcess] = []
        self._gateway_faults = GatewayFaults(self.gateways)

    @property
    def record(self) -> FaultRecord:
        """What gateways and the store were exposed to, as far as guarantees allow."""
        return FaultRecord(
            self._gateway_faults.disturbances,
            self._store_disturbances,
            self._versions,
            self._draining,
        )

    @property
    def violations(self) -> list[str]:
        """One line for each gateway that stopped too late or with an error."""
        return self._gateway_faults.violations

    @property
    def targets(self) -> list[PlainTarget]:
        """All targets that ever ran, including those that have left."""
        return list(self._all_targets)

    def start(self) -> None:
        """Starts everything and waits until all gateways accept requests."""
        self._publish(RoutesChanged())
        for number, service in enumerate(SERVICES):
            target, proxy = self._new_target(f"t{number}", service)
            self._targets.append(target)
            self._proxies.append(proxy)
        seeds = ""
        for number in range(GATEWAYS):
            gateway = GatewayProcess(
                f"g{number}",
                self._folder,
                self._store_proxy.address,
                seeds,
                self._ports,
                GATEWAY_SETTINGS,
            )
            self.gateways.append(gateway)
            seeds = ",".join(each.control for each in self.gateways)
        for gateway in self.gateways:
            wait_until(gateway.is_ready)

    def stop(self) -> None:
        """Stops the gateways, targets and proxies and releases the ports."""
        for gateway in self.gateways:
            gateway.stop()
        self._store_proxy.close()
        self._store.close()
        for proxy in [*self._proxies, *self._replaced_proxies]:
            proxy.close()
        for target in self._all_targets:
            target.close()
        self._ports.release()

    def inject_faults(self, planned: list[PlannedFault]) -> None:
        """Injects the faults, each in a thread, and waits until all are over."""
        began_at_s = time.monotonic()
        threads = [
            threading.Thread(target=self._inject_at, args=(began_at_s, each))
            for each in planned
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def check_accounts(self) -> list[str]:
        """Returns one line for each fault in the accounts of the gateways."""
        return self._gateway_faults.check_accounts()

    def _inject_at(self, began_at_s: float, planned: PlannedFault) -> None:
        time.sleep(max(0.0, began_at_s + planned.at_s - time.monotonic()))
        self._inject(planned.fault, planned.lasts_s)

    def _inject(self, fault: Fault, lasts_s: float) -> None:
        match fault:
            case TargetReplaced(target):
                self._replace(target)
            case (
                TargetDelayed() | TargetStalled() | TargetRepliesLost() | TargetReset()
            ):
                self._inject_target_fault(fault, lasts_s)
            case (
                GatewayStopped()
                | GatewayKilled()
                | GatewayPaused()
                | SettingsReloaded()
            ):
                self._gateway_faults.inject(fault, lasts_s)
            case StoreUnavailable() | StoreStalled() | StoreRestored():
                self._inject_store_fault(fault, lasts_s)
            case (
                RoutesChanged()
                | PrioritiesChanged()
                | RouteRemoved()
                | RouteMoved()
                | ShardsChanged()
                | LimitsChanged()
                | ConfigurationGrown()
                | VersionsPublished()
            ):
                self._change_configuration(fault, lasts_s)

    def _inject_store_fault(self, fault: StoreFault, lasts_s: float) -> None:
        from_s = time.monotonic()
        match fault:
            case StoreRestored():
                self._restore_store(fault)
                return
            case StoreUnavailable():
                self._store.is_unavailable = True
                time.sleep(lasts_s)
                self._store.is_unavailable = False
            case StoreStalled():
                self._inject_proxy_fault(self._store_proxy, ProxyMode.STALLED, lasts_s)
        self._store_disturbances.append(Period(from_s, time.monotonic()))

    def _restore_store(self, fault: StoreRestored) -> None:
        # A replacement lasts for seconds, of which only the first write is awaited.
        change = threading.Thread(target=self._inject, args=(fault.change, 0.0))
        period = self._published.restore(fault, change.start)
        self._store_disturbances.append(period)
        change.join()

    def _change_configuration(
        self, change: ConfigurationChange, lasts_s: float
    ) -> None:
        match change:
            case VersionsPublished(versions):
                for priorities in versions:
                    self._publish(PrioritiesChanged(priorities))
            case RouteRemoved() | ConfigurationGrown():
                self._publish(change)
                time.sleep(lasts_s)
                self._publish_without(change)
            case _:
                self._publish(change)

    def _inject_target_fault(self, fault: TargetFault, lasts_s: float) -> None:
        proxy = self._proxies[fault.target]
        match fault:
            case TargetDelayed(_, delay_s):
                self._inject_proxy_fault(proxy, ProxyMode.PASS, lasts_s, delay_s)
            case TargetStalled():
                self._inject_proxy_fault(proxy, ProxyMode.STALLED, lasts_s)
            case TargetRepliesLost():
                self._inject_proxy_fault(proxy, ProxyMode.DROP_REPLIES, lasts_s)
            case TargetReset():
                self._inject_proxy_fault(proxy, ProxyMode.RESET, lasts_s)

    def _inject_proxy_fault(
        self, proxy: FaultyProxy, mode: ProxyMode, lasts_s: float, delay_s: float = 0.0
    ) -> None:
        proxy.set_mode(mode, delay_s)
        time.sleep(lasts_s)
        proxy.set_mode(ProxyMode.PASS)

    def _publish(self, change: ConfigurationChange) -> None:
        with self._publishing:
            self._configuration.apply(change)
            self._write_configuration()

    def _publish_without(self, change: RouteRemoved | ConfigurationGrown) -> None:
        with self._publishing:
            self._configuration.revert(change)
            self._write_configuration()

    def _write_configuration(self) -> None:
        services = self._configuration.services
        self._versions.add(PublishedVersion(time.monotonic(), services))
        document = self._configuration.next_document(self._version_steps)
        self._published.write("op/config", document)

    def _new_target(self, name: str, service: str) -> tuple[PlainTarget, FaultyProxy]:
        target = PlainTarget(name, service)
        target.delay_s = WORK_S
        proxy = FaultyProxy(target.address)
        self._all_targets.append(target)
        self._published.write(f"servers/{name}", target.entry(address=proxy.address))
        return target, proxy

    def _replace(self, number: int) -> None:
        old, old_proxy = self._targets[number], self._proxies[number]
        name = f"{old.name}-next"
        new, proxy = self._new_target(name, old.service)
        self._targets[number], self._proxies[number] = new, proxy
        entry = old.entry("draining", address=old_proxy.address)
        self._draining[old.name] = self._published.write(f"servers/{old.name}", entry)
        time.sleep(LEAVING_S)
        self._published.remove(f"servers/{old.name}")
        # Some go on serving for long, so that requests which still reach them are seen.
        self._replaced_proxies.append(old_proxy)
        if len(self._replaced_proxies) % 2:
            time.sleep(LEAVING_S)
            old_proxy.close()
