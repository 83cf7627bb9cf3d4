"""Starts gateways as separate processes, configured the way the platform does it."""

import http.client
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from standins.ports import PortBlock

# Enough for a process to start and import its modules on a busy machine.
START_TIMEOUT_S: Final = 20.0
SETTINGS = """\
node={node}
ip=127.0.0.1
zone=a
region=north
listen.front=127.0.0.1:{0}
listen.ready=127.0.0.1:{1}
listen.control=127.0.0.1:{2}
listen.directory=127.0.0.1:{3}
seeds={seeds}
platform.address={store}
limits.cpu-share=1.0
limits.cores=1
bounds.drain-ms=3000
bounds.grace-s=6
bounds.retry-budget-ratio=0.2
bounds.retry-slack=56
bounds.budget-window-s=10
bounds.ttl_max_s=2
"""


def route(name: str, kind: str = "idempotent", **destination: Any) -> dict[str, Any]:
    """Builds a route in the form in which the operator publishes it."""
    return {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 3_000,
        "target-latency-ms": 1_000,
        "max-attempts": 2,
        "priority": 1,
        **destination,
    }


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Builds a configuration in the form in which the operator publishes it."""
    names = {"desk", "shard-0", "shard-1", "other"}
    services = [{"name": name, "max-conns": 50} for name in sorted(names)]
    return {"version": version, "routes": list(routes), "services": services}


SHARDS: dict[str, Any] = {
    "gather": ["shard-0", "shard-1"],
    "top-k": 5,
    "min-coverage": 0.5,
}
ROUTES = (
    route("lookups", service="desk"),
    route("orders", "non_idempotent", service="desk"),
    route("searches", **SHARDS),
)


class GatewayProcess:
    """Runs one gateway as a separate process.

    Args:
        settings: Further lines of the settings file, each with its end of line.

    Attributes:
        node: Name of the gateway.
        ports: Ports for callers, readiness, control, directory and metrics.
        process: The process that was started last.
    """

    def __init__(
        self,
        node: str,
        folder: Path,
        store: str,
        seeds: str,
        ports: PortBlock,
        settings: str = "",
    ) -> None:
        self.node = node
        addresses = ports.allocate(5)
        self.ports = [int(address.rpartition(":")[2]) for address in addresses]
        self._path = folder / f"{node}.conf"
        self._settings = SETTINGS.format(
            *self.ports, node=node, store=store, seeds=seeds
        )
        self._settings += settings
        self._log_path = folder / f"{node}.log"
        self._log = self._log_path.open("ab")
        self._environment = os.environ | {
            "LAVENDERTIDE_SETTINGS": str(self._path),
            "FLEET_KEY": "a key of stand-ins",
            "METRICS_PORT": str(self.ports[4]),
        }
        self._launch(is_first_start=True)

    def launch(self) -> None:
        """Restarts the process after the previous one has ended."""
        self._launch(is_first_start=False)

    def change_setting(self, name: str, value: str) -> None:
        """Changes a value in the settings file; the process isn't told."""
        lines = [
            f"{name}={value}" if line.startswith(f"{name}=") else line
            for line in self._settings.splitlines()
        ]
        self._settings = "\n".join([*lines, ""])
        self._write_settings()

    def _write_settings(self) -> None:
        bootstrap = f"bootstrap={str(self._is_first_start).lower()}\n"
        self._path.write_text(self._settings + bootstrap)

    def _launch(self, is_first_start: bool) -> None:
        self._is_first_start = is_first_start
        self._write_settings()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lavendertide.platform"],
            env=self._environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def log_text(self) -> str:
        """What the process has logged so far."""
        return self._log_path.read_text(errors="replace")

    @property
    def peak_memory_kb(self) -> int:
        """The most memory that the process has had resident so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (each for each in status.splitlines() if each.startswith("VmHWM"))
        return int(line.split()[1])

    @property
    def control(self) -> str:
        """Address on which the gateway accepts its peers."""
        return f"127.0.0.1:{self.ports[2]}"

    def get(
        self,
        path: str,
        port: int = 0,
        method: str = "GET",
        name: str = "r1",
        deadline_ms: int = 5_000,
        timeout_s: float = 10.0,
    ) -> http.client.HTTPResponse:
        """Sends an HTTP request to the gateway and reads the whole response.

        Args:
            path: Path of the request.
            port: Index into `ports` of the listener that the request is sent to.
            method: HTTP method.
            name: Id of the request.
            deadline_ms: How long the caller says that it waits, in milliseconds.
            timeout_s: How long it waits for each piece of the response.

        Returns:
            The response; its attribute `body` holds the body.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ports[port], timeout_s
        )
        headers = {
            "Host": "shop.example",
            "Lavendertide-Request-Id": name,
            "Lavendertide-Deadline-Ms": str(deadline_ms),
        }
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            response.body = response.read()  # type: ignore[attr-defined]
        finally:
            connection.close()
        return response

    def ignores(self, number: signal.Signals) -> bool:
        """Returns whether the process ignores or handles a signal."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(("SigIgn", "SigCgt"))
        ]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def is_ready(self) -> bool:
        """Returns whether the readiness endpoint reports that requests are accepted."""
        try:
            return self.get("/api/ready", 1).status == 200
        except OSError:
            return False

    def stop(self) -> None:
        """Kills the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


def wait_until(is_true: Callable[[], bool], timeout_s: float = START_TIMEOUT_S) -> None:
    """Polls a condition until it holds.

    Raises:
        AssertionError: The condition did not hold within `timeout_s`.
    """
    ends_at_s = time.monotonic() + timeout_s
    while not is_true():
        if time.monotonic() >= ends_at_s:
            raise AssertionError("the condition did not hold in time")
        time.sleep(0.05)
