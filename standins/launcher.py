"""Starts a deployment as separate processes on the loopback address.

Tests, the demo and the benchmarks use it. It ends only the processes that it has
started, by their ids.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

import urllib3
import yaml

from standins.deployment import (
    OwnerSpec,
    PlacedTarget,
    build_publication,
    count_targets,
    daemon_settings,
    place_targets,
    target_specification,
)
from standins.ports import PortBlock

READY_TIMEOUT_S = 20.0
POLL_S = 0.05
STOP_TIMEOUT_S = 10.0
LEASES_WAITING = "lavendertide_leases_waiting"


@dataclass(frozen=True)
class DaemonPlace:
    """The region and failure domain of a daemon."""

    region: str
    failure_domain: str


@dataclass(frozen=True)
class LinkDistance:
    """Simulated delay and loss of the links from one daemon to some of its peers.

    Attributes:
        peers: Names of the daemons at the other ends of the links.
        delay_s: One-way delay of each frame.
        loss: Share of the frames that are lost.
    """

    peers: tuple[str, ...]
    delay_s: float
    loss: float


class Launcher:
    """Starts, controls and stops the processes of a deployment.

    Attributes:
        placed_targets: All targets with their addresses.
        callers: Address for callers of each daemon, by its name.
        peers: Address for peers of each daemon, by its name.
        admins: Address for operators of each daemon, by its name.
        configuration: Address of the configuration service.
        membership: Address of the membership service.
    """

    def __init__(
        self,
        owners: tuple[OwnerSpec, ...],
        seed: int = 1,
        target_processes: int = 2,
        median_ms: float = 5.0,
        overrides: dict[str, Any] | None = None,
        has_link_faults: bool = False,
        admin_key: str = "",
    ) -> None:
        self.owners = owners
        self._ports = PortBlock()
        self.placed_targets = place_targets(
            owners, self._ports.allocate(count_targets(owners))
        )
        self.callers: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self.admins: dict[str, str] = {}
        self.configuration, self.membership = self._ports.allocate(2)
        self._controls: dict[str, str] = {}
        self._seed = seed
        self._target_processes = target_processes
        self._median_ms = median_ms
        self._overrides = overrides or {}
        self._has_link_faults = has_link_faults
        self._headers = {"Authorization": f"Bearer {admin_key}"} if admin_key else {}
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._settings: dict[str, Path] = {}
        self._version = 0
        self._http = urllib3.PoolManager(retries=False)

    def start(self) -> None:
        """Starts all processes and waits until every daemon serves."""
        self._start_platform()
        self._start_targets()
        self.publish()
        self._write_settings()
        self.publish_hosts(list(self._settings))
        for name in self._settings:
            self.start_daemon(name)
        for name in self._settings:
            self.wait_until_ready(name)

    def stop(self) -> None:
        """Kills every process that this launcher started and releases its ports."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)
        self._http.clear()
        self._folder.cleanup()
        self._ports.release()

    @contextlib.contextmanager
    def running(self) -> Iterator["Launcher"]:
        """Starts the deployment and stops it when the context exits."""
        try:
            self.start()
            yield self
        finally:
            self.stop()

    def publish(
        self,
        index_versions: tuple[int, ...] = (1,),
        edit: Callable[[dict[str, Any]], None] | None = None,
    ) -> int:
        """Publishes both lists under the next version.

        Args:
            index_versions: Versions of every index, all with the same shard map.
            edit: Changes the lists before they are published.

        Returns:
            The version of the lists.
        """
        lists = self.build_next_lists(index_versions)
        if edit is not None:
            edit(lists)
        self.post(self.configuration, "/v1/publish", lists)
        return self._version

    def publish_hosts(self, live: list[str], leaving: tuple[str, ...] = ()) -> None:
        """Publishes a membership list with the hosts of the given daemons."""
        states = dict.fromkeys(live, "live") | dict.fromkeys(leaving, "leaving")
        hosts = [{"host": f"{n}-host", "state": state} for n, state in states.items()]
        self.post(self.membership, "/v1/list", {"hosts": hosts})

    def set_link_faults(
        self,
        name: str,
        drop_to: tuple[str, ...] = (),
        drop_from: tuple[str, ...] = (),
        loss: float = 0.0,
        delay_s: float = 0.0,
        distances: tuple[LinkDistance, ...] = (),
    ) -> None:
        """Replaces the link faults of a daemon.

        Args:
            name: The daemon.
            drop_to: Daemons to which no frame is delivered.
            drop_from: Daemons from which no frame is received.
            loss: Share of all frames that are lost.
            delay_s: One-way delay of all frames.
            distances: Delay and loss of the links to particular daemons.
        """
        rules = {
            "drop_to": [self.peers[peer] for peer in drop_to],
            "drop_from": [self.peers[peer] for peer in drop_from],
            "loss": loss,
            "delay_s": delay_s,
            "distances": [
                {
                    "delay_s": distance.delay_s,
                    "loss": distance.loss,
                    "peers": [self.peers[peer] for peer in distance.peers],
                }
                for distance in distances
            ],
        }
        temporary = self._link_faults_path(name).with_suffix(".new")
        temporary.write_text(json.dumps(rules))
        temporary.replace(self._link_faults_path(name))

    def change_settings(self, name: str, section: str, **values: Any) -> None:
        """Changes a daemon's settings file, which is read at the next start."""
        settings = yaml.safe_load(self._settings[name].read_text())
        settings.setdefault(section, {}).update(values)
        self._settings[name].write_text(yaml.safe_dump(settings))

    def settings_of(self, name: str) -> Path:
        """Returns the path of a daemon's settings file."""
        return self._settings[name]

    def place_of(self, name: str) -> DaemonPlace:
        """Returns the region and failure domain in a daemon's settings."""
        place = yaml.safe_load(self._settings[name].read_text())["place"]
        return DaemonPlace(place["region"], place["failure_domain"])

    def build_next_lists(
        self, index_versions: tuple[int, ...] = (1,)
    ) -> dict[str, Any]:
        """Builds both lists under the next version without publishing them."""
        self._version += 1
        return build_publication(
            self.owners, self.placed_targets, self._version, index_versions
        )

    def start_daemon(self, name: str) -> None:
        """Starts a daemon, or restarts it after its process has ended."""
        self._spawn(name, "lavendertide", str(self._settings[name]))

    def signal_daemon(self, name: str, signal_number: int) -> None:
        """Sends a signal to a daemon's process."""
        self._processes[name].send_signal(signal_number)

    def pid_of(self, name: str) -> int:
        """Returns the process id of a daemon or stand-in process."""
        return self._processes[name].pid

    def wait_for_exit(self, name: str) -> int:
        """Waits until a daemon's process has ended and returns its exit code."""
        return self._processes[name].wait(STOP_TIMEOUT_S)

    def wait_until_ready(self, name: str) -> None:
        """Waits until a daemon serves with its configuration, peers and slot leases.

        Raises:
            TimeoutError: The daemon is not ready after `READY_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                status = self.get_json(self.admins[name], "/v1/status")
                reachable = [m for m in status["members"] if m["reachable"]]
                are_all_reachable = len(reachable) >= len(self._settings)
                serves = status["readiness"] == "serving"
                is_current = status["configuration"] >= self._version
                has_slots = self.metric(name, LEASES_WAITING, missing=1.0) == 0
                if are_all_reachable and serves and is_current and has_slots:
                    return
            time.sleep(POLL_S)
        raise TimeoutError(f"daemon {name} is not ready after {READY_TIMEOUT_S:g} s")

    def change_target(self, target: str, **behaviour: Any) -> None:
        """Changes the given fields of a target's `TargetBehaviour`."""
        body = {"target": target, "behaviour": behaviour}
        self.post(self._controls[target], "/v1/change", body)

    def crash_target(self, target: str) -> None:
        """Crashes a target, which restarts after its `restart_ms`."""
        self.post(self._controls[target], "/v1/crash", {"target": target})

    def target_counts(self) -> dict[str, dict[str, Any]]:
        """Returns the `TargetCounts` of all targets, by target."""
        counts: dict[str, dict[str, Any]] = {}
        for control in set(self._controls.values()):
            counts.update(self.get_json(control, "/v1/counts"))
        return counts

    def status(self, name: str) -> dict[str, Any]:
        """Returns the status that a daemon reports of itself and of the members."""
        status: dict[str, Any] = self.get_json(self.admins[name], "/v1/status")
        return status

    def metric(self, name: str, metric: str, missing: float = 0.0) -> float:
        """Returns the sum of a daemon's metric over all its labels.

        Args:
            name: The daemon.
            metric: The metric's full name.
            missing: The value returned if the daemon does not export the metric.
        """
        lines = self.get_text(self.admins[name], "/metrics").splitlines()
        found = [line for line in lines if line.split("{")[0].split(" ")[0] == metric]
        if not found:
            return missing
        return sum(float(line.rsplit(" ", 1)[1]) for line in found)

    def get_json(self, address: str, path: str) -> Any:
        """Sends a GET request to one of the processes and decodes the JSON response."""
        url = f"http://{address}{path}"
        return self._http.request("GET", url, headers=self._headers).json()

    def get_text(self, address: str, path: str) -> str:
        """Sends a GET request to one of the processes and returns the body as text."""
        url = f"http://{address}{path}"
        return self._http.request("GET", url, headers=self._headers).data.decode()

    def post(self, address: str, path: str, body: Any) -> Any:
        """Posts JSON to one of the processes and decodes the JSON response.

        Raises:
            OSError: The status of the response is not 200.
        """
        response = self._http.request("POST", f"http://{address}{path}", json=body)
        if response.status != HTTPStatus.OK:
            raise OSError(f"{address}{path} returned status {response.status}")
        return response.json()

    def _start_platform(self) -> None:
        self._spawn(
            "platform",
            "standins.platform_services",
            self.configuration,
            self.membership,
        )
        _wait_for_listener(self.configuration)
        _wait_for_listener(self.membership)

    def _start_targets(self) -> None:
        controls = self._ports.allocate(self._target_processes)
        for number, control in enumerate(controls):
            served = self.placed_targets[number :: self._target_processes]
            self._start_target_process(number, control, served)
        for control in controls:
            _wait_for_listener(control)

    def _start_target_process(
        self, number: int, control: str, served: list[PlacedTarget]
    ) -> None:
        specification = target_specification(
            served, control, self._seed, median_ms=self._median_ms
        )
        path = Path(self._folder.name) / f"targets-{number}.json"
        path.write_text(json.dumps(specification))
        self._spawn(f"targets-{number}", "standins.targets", str(path))
        for target in served:
            self._controls[target.target] = control

    def _write_settings(self) -> None:
        hosts = [(owner, n) for owner in self.owners for n in range(owner.hosts)]
        free = iter(self._ports.allocate(3 * len(hosts)))
        addresses = [(next(free), next(free), next(free)) for _ in hosts]
        seeds = [peers for _, peers, _ in addresses[:3]]
        for (owner, number), own in zip(hosts, addresses, strict=True):
            settings = daemon_settings(
                owner, number, own, seeds, (self.configuration, self.membership)
            )
            for section, values in self._overrides.items():
                settings.setdefault(section, {}).update(values)
            name = settings["place"]["daemon"]
            self.callers[name], self.peers[name], self.admins[name] = own
            if self._has_link_faults:
                settings["faults"] = {"rules": str(self._link_faults_path(name))}
            path = Path(self._folder.name) / f"{name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            self._settings[name] = path

    def _link_faults_path(self, name: str) -> Path:
        return Path(self._folder.name) / f"{name}-faults.json"

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log = (Path(self._folder.name) / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=dict(os.environ),
        )
        log.close()

    def log_of(self, name: str) -> str:
        """Returns the output of a process so far."""
        return (Path(self._folder.name) / f"{name}.log").read_text()


def _wait_for_listener(address: str) -> None:
    host, port = address.split(":")
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(OSError), socket.create_connection((host, int(port))):
            return
        time.sleep(POLL_S)
    raise TimeoutError(f"no process listens on {address} after {READY_TIMEOUT_S:g} s")
