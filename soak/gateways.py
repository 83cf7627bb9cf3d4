"""Injects faults into gateways and records when they were disturbed."""

import http.client
import signal
import subprocess
import threading
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from soak.accounts import check_account, check_log, count_stops, parse_metrics
from soak.callers import Outcome
from soak.faults import (
    GatewayFault,
    GatewayKilled,
    GatewayPaused,
    GatewayStopped,
    SettingsReloaded,
)
from soak.operator import Period, PublishedVersions, due_by_s
from standins.gateway_process import GatewayProcess

# A third one serves while one is stopped and another is killed.
GATEWAYS: Final = 3
# Time to stop: `bounds.grace-s` in the settings of `standins.gateway_process`.
GRACE_S: Final = 6.0
# `bounds.drain-ms` in the same settings.
DRAIN_S: Final = 3.0
# Tolerance for the system to report the end of a process.
GRACE_SLACK_S: Final = 1.0
# Time between two signals that are sent to a gateway in quick succession.
SIGNALS_INTERVAL_S: Final = 0.05
# Time after which a gateway has started again and has ended what callers have read.
SETTLE_S: Final = 10.0
SETTLE_PAUSE_S: Final = 0.2
# Index of the listener for metrics.
METRICS_PORT: Final = 4


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


@dataclass(frozen=True, slots=True)
class FaultRecord:
    """The disturbances and versions that decide what a gateway may do with a request.

    Attributes:
        gateways: When gateways were killed, paused or stopped.
        store: When the store was unavailable or stalled.
        versions: The versions of the configuration that were published.
        draining: When the store accepted that a target drains, by its name.
    """

    gateways: Sequence[Disturbance] = ()
    store: Sequence[Period] = ()
    versions: PublishedVersions = field(default_factory=PublishedVersions)
    draining: Mapping[str, float] = field(default_factory=dict)

    def find_overlapping(self, outcome: Outcome) -> list[Disturbance]:
        """Returns the disturbances of the gateway of a request while it ran."""
        return [
            each
            for each in self.gateways
            if each.gateway == outcome.gateway
            and each.from_s <= outcome.ended_at_s
            and each.until_s >= outcome.sent_at_s
        ]

    def was_disturbed(self, outcome: Outcome, within_s: float) -> bool:
        """Returns whether the gateway of a request was disturbed shortly before it."""
        return any(
            each.gateway == outcome.gateway
            and each.from_s <= outcome.ended_at_s
            and each.until_s >= outcome.sent_at_s - within_s
            for each in self.gateways
        )

    def find_services(self, outcome: Outcome) -> list[tuple[str, ...]]:
        """Returns the services of the route of a request, by version.

        Contains each version that may have been in force while the request ran. A
        version without the route has no service.
        """
        versions = self.versions.find_in_force(
            Period(outcome.sent_at_s, outcome.ended_at_s), self._unreadable(outcome)
        )
        return [version.services.get(outcome.kind, ()) for version in versions]

    def is_left(self, target: str, outcome: Outcome) -> bool:
        """Returns whether a target may get nothing of a request any more."""
        accepted_at_s = self.draining.get(target)
        if accepted_at_s is None:
            return False
        due_by = due_by_s(accepted_at_s, DRAIN_S, self._unreadable(outcome))
        return outcome.sent_at_s > due_by

    def _unreadable(self, outcome: Outcome) -> list[Period]:
        """Returns when the gateway of a request could not read the store."""
        own = [
            Period(each.from_s, each.until_s)
            for each in self.gateways
            if each.gateway == outcome.gateway and not each.is_graceful
        ]
        return [*self.store, *own]


class GatewayFaults:
    """Injects faults into gateways.

    Args:
        gateways: The gateways, by their number.

    Attributes:
        disturbances: When gateways were killed, paused or stopped.
        violations: One line for each gateway that stopped too late or with an error.
    """

    def __init__(self, gateways: Sequence[GatewayProcess]) -> None:
        self._gateways = gateways
        self._locks = [threading.Lock() for _ in range(GATEWAYS)]
        self.disturbances: list[Disturbance] = []
        self.violations: list[str] = []

    def inject(self, fault: GatewayFault, lasts_s: float) -> None:
        """Injects a fault into a gateway and records the period of the disturbance.

        Faults of the same gateway are injected one after another.
        """
        number = fault.gateway
        gateway = self._gateways[number]
        with self._locks[number]:
            from_s = time.monotonic()
            match fault:
                case GatewayStopped():
                    self._stop_gateway(gateway)
                case GatewayKilled():
                    self._kill_gateway(gateway, lasts_s)
                case GatewayPaused():
                    self._pause_gateway(gateway, lasts_s)
                case SettingsReloaded():
                    self._reload_settings(gateway, fault)
            if isinstance(fault, SettingsReloaded) and not fault.is_stopped:
                return
            is_graceful = isinstance(fault, GatewayStopped | SettingsReloaded)
            disturbance = Disturbance(number, from_s, time.monotonic(), is_graceful)
            self.disturbances.append(disturbance)

    def check_accounts(self) -> list[str]:
        """Returns one line for each fault in the accounts of the gateways.

        To be called when no caller waits for a response.
        """
        found: list[str] = []
        for gateway in self._gateways:
            found += self._check_running(gateway)
            found += check_log(gateway.node, gateway.log_text)
        return found

    def _check_running(self, gateway: GatewayProcess) -> list[str]:
        ends_at_s = time.monotonic() + SETTLE_S
        while True:
            try:
                response = gateway.get("/metrics", METRICS_PORT)
            except (OSError, http.client.HTTPException) as error:
                found = [f"account: {gateway.node} can't be read: {error!r}"]
            else:
                text = response.body.decode()  # type: ignore[attr-defined]
                found = list(check_account(gateway.node, parse_metrics(text)))
            if not found or time.monotonic() > ends_at_s:
                return found
            time.sleep(SETTLE_PAUSE_S)

    def _stop_gateway(self, gateway: GatewayProcess) -> None:
        self._send_and_await_end(gateway, [signal.SIGTERM], gateway.is_ready())

    def _reload_settings(
        self, gateway: GatewayProcess, fault: SettingsReloaded
    ) -> None:
        gateway.change_setting("bounds.retry-slack", str(fault.retry_slack))
        # SIGHUP ends a process that has not run any code yet.
        was_ready = gateway.is_ready()
        signals = [signal.SIGHUP] * fault.signals if was_ready else []
        if fault.is_stopped:
            signals.insert(1, signal.SIGTERM)
            self._send_and_await_end(gateway, signals, was_ready)
        else:
            _send(gateway, signals)

    def _send_and_await_end(
        self, gateway: GatewayProcess, signals: Sequence[signal.Signals], ready: bool
    ) -> None:
        """Sends signals that stop a gateway, checks its end and starts it again.

        A gateway that is still starting has no requests to finish and may exit at once,
        so its exit status and its account are checked only if it was ready.
        """
        stops = count_stops(gateway.log_text)
        _send(gateway, signals)
        try:
            status = gateway.process.wait(GRACE_S + GRACE_SLACK_S)
        except subprocess.TimeoutExpired:
            self.violations.append(f"stop: {gateway.node} outlived its grace")
            gateway.process.kill()
            status = gateway.process.wait()
        if status != 0 and ready:
            self.violations.append(f"stop: {gateway.node} ended with {status}")
        elif ready and count_stops(gateway.log_text) == stops:
            self.violations.append(f"stop: {gateway.node} logged no account")
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


def _send(gateway: GatewayProcess, signals: Sequence[signal.Signals]) -> None:
    for each in signals:
        gateway.process.send_signal(each)
        time.sleep(SIGNALS_INTERVAL_S)
