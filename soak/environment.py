"""Runs gateways, targets and the store, and injects the planned faults."""

import signal
import subprocess
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from soak.faults import (
    Fault,
    GatewayFault,
    GatewayKilled,
    GatewayPaused,
    GatewayStopped,
    PlannedFault,
    RoutesChanged,
    StoreStalled,
    StoreUnavailable,
    TargetDelayed,
    TargetFault,
    TargetReplaced,
    TargetRepliesLost,
    TargetReset,
    TargetStalled,
)
from soak.proxy import FaultyProxy, ProxyMode
from standins.gateway_process import (
    SHARDS,
    GatewayProcess,
    configuration,
    route,
    wait_until,
)
from standins.platform_store import PlainTarget, PlatformStore
from standins.ports import PortBlock

# The service of each target. Every service has two, so that a retry finds another one.
SERVICES: Final = ("desk", "desk", "shard-0", "shard-0", "shard-1", "shard-1")
# A third one serves while one is stopped and another is killed.
GATEWAYS: Final = 3
# Time that a request runs; long enough that a fault always hits some running ones.
WORK_S: Final = 0.05
# Time to stop: `bounds.grace-s` in the settings of `standins.gateway_process`.
GRACE_S: Final = 6.0
# Tolerance for the system to report the end of a process.
GRACE_SLACK_S: Final = 1.0
# Time for which a leaving target still replies, as the platform's protocol allows.
LEAVING_S: Final = 1.0
# Admission by priority looks up the class of a request while the table may change.
GATEWAY_SETTINGS: Final = "contracts=pressure\n"
# `lookups` and `orders` share the targets of one service.
SOAK_ROUTES: Final = (
    route("lookups", service="desk", priority=1),
    route("orders", "non_idempotent", service="desk", priority=0),
    route("searches", **SHARDS, priority=2),
)


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which a gateway was killed, paused or stopping.

    Attributes:
        gateway: Number of the gateway.
        from_s: Start of the period, monotonic.
        until_s: End of the period, monotonic.
        is_graceful: Whether the gateway was stopped by SIGTERM, so that it must still
            answer the requests it already has.
    """

    gateway: int
    from_s: float
    until_s: float
    is_graceful: bool


class SoakEnvironment:
    """Runs the processes, targets and proxies of one soak test.

    Args:
        folder: Folder for settings and logs.

    Attributes:
        gateways: The gateways, by their number.
        disturbances: When gateways were killed, paused or stopped.
        violations: One line for each gateway that stopped too late or with an error.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._ports = PortBlock()
        self._store = PlatformStore()
        self._store_proxy = FaultyProxy(self._store.address)
        self._version = 1
        self._targets: list[PlainTarget] = []
        self._proxies: list[FaultyProxy] = []
        self._all_targets: list[PlainTarget] = []
        self._locks = [threading.Lock() for _ in range(GATEWAYS)]
        self._publishing = threading.Lock()
        self.gateways: list[GatewayProcess] = []
        self.disturbances: list[Disturbance] = []
        self.violations: list[str] = []

    @property
    def targets(self) -> list[PlainTarget]:
        """All targets that ever ran, including those that have left."""
        return list(self._all_targets)

    def start(self) -> None:
        """Starts everything and waits until all gateways accept requests."""
        self._publish()
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
        for proxy in self._proxies:
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
            case GatewayStopped() | GatewayKilled() | GatewayPaused():
                self._inject_gateway_fault(fault, lasts_s)
            case StoreUnavailable():
                self._store.is_unavailable = True
                time.sleep(lasts_s)
                self._store.is_unavailable = False
            case StoreStalled():
                self._inject_proxy_fault(self._store_proxy, ProxyMode.STALLED, lasts_s)
            case RoutesChanged():
                self._publish()

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

    def _publish(self) -> None:
        with self._publishing:
            self._version += 1
            self._store.put("op/config", configuration(self._version, *SOAK_ROUTES))

    def _new_target(self, name: str, service: str) -> tuple[PlainTarget, FaultyProxy]:
        target = PlainTarget(name, service)
        target.delay_s = WORK_S
        proxy = FaultyProxy(target.address)
        self._all_targets.append(target)
        self._store.put(f"servers/{name}", target.entry(address=proxy.address))
        return target, proxy

    def _replace(self, number: int) -> None:
        old, old_proxy = self._targets[number], self._proxies[number]
        name = f"{old.name}-next"
        new, proxy = self._new_target(name, old.service)
        self._targets[number], self._proxies[number] = new, proxy
        entry = old.entry("draining", address=old_proxy.address)
        self._store.put(f"servers/{old.name}", entry)
        time.sleep(LEAVING_S)
        self._store.remove(f"servers/{old.name}")
        time.sleep(LEAVING_S)
        old_proxy.close()

    def _inject_gateway_fault(self, fault: GatewayFault, lasts_s: float) -> None:
        """Injects a fault into a gateway and records the period of the disturbance.

        Faults of the same gateway are injected one after another.
        """
        number = fault.gateway
        gateway = self.gateways[number]
        with self._locks[number]:
            from_s = time.monotonic()
            match fault:
                case GatewayStopped():
                    self._stop_gateway(gateway)
                case GatewayKilled():
                    self._kill_gateway(gateway, lasts_s)
                case GatewayPaused():
                    self._pause_gateway(gateway, lasts_s)
            is_graceful = isinstance(fault, GatewayStopped)
            disturbance = Disturbance(number, from_s, time.monotonic(), is_graceful)
            self.disturbances.append(disturbance)

    def _stop_gateway(self, gateway: GatewayProcess) -> None:
        # A gateway that is still starting has no requests to finish and may exit at
        # once, so its exit status is not checked.
        was_ready = gateway.is_ready()
        gateway.process.send_signal(signal.SIGTERM)
        try:
            status = gateway.process.wait(GRACE_S + GRACE_SLACK_S)
        except subprocess.TimeoutExpired:
            self.violations.append(f"stop: {gateway.node} outlived its grace")
            gateway.process.kill()
            status = gateway.process.wait()
        if status != 0 and was_ready:
            self.violations.append(f"stop: {gateway.node} ended with {status}")
        gateway.launch()

    def _kill_gateway(self, gateway: GatewayProcess, lasts_s: float) -> None:
        gateway.process.kill()
        gateway.process.wait()
        time.sleep(lasts_s)
        gateway.launch()

    def _pause_gateway(self, gateway: GatewayProcess, lasts_s: float) -> None:
        gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(lasts_s)
        gateway.process.send_signal(signal.SIGCONT)
