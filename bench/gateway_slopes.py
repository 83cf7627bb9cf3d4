"""Measures the cost of an idle gateway, by the size of its fleet.

`python -m bench.gateway_slopes --hosts 10 --hosts 20 --hosts 40` starts gateways as
processes on a stand-in of the platform and waits until all serve. It prints one line of
JSON for each size: the medians over all hosts of processor time, bytes to peers and
memory. All hosts are in one failure domain, so only one of them reads the platform.
"""

import json
import re
import statistics
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import click

from bench.process_stats import read_process_stats
from bench.revision import revision
from standins.gateway_process import (
    ROUTES,
    GatewayProcess,
    configuration,
    wait_until,
)
from standins.platform_store import PlatformStore, target_entry
from standins.ports import PortBlock

# Registered targets; no requests are sent to them.
TARGETS: Final = 200
# Time until the gossip of the start has reached all hosts.
SETTLE_S: Final = 10.0
START_TIMEOUT_S: Final = 120.0
SENT_BYTES: Final = re.compile(
    r'^lavendertide_peer_bytes_total\{.*direction="sent".*\} (\S+)$', re.MULTILINE
)


@dataclass(frozen=True, slots=True)
class Usage:
    """The processor time, sent bytes and memory that a process has used so far."""

    processor_s: float
    sent_bytes: float
    memory_mb: float


@click.command()
@click.option("--hosts", multiple=True, type=int, default=(10, 20, 40))
@click.option("--seconds", default=30.0, show_default=True, help="How long to measure.")
def main(hosts: tuple[int, ...], seconds: float) -> None:
    """Prints the results of each fleet size."""
    for count in hosts:
        click.echo(json.dumps(measure(count, seconds)))


def measure(count: int, seconds: float) -> dict[str, object]:
    """Measures a fleet of gateways and returns medians and maxima over the gateways.

    Args:
        count: Number of gateways.
        seconds: Length of the measurement.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports = PortBlock()
        stack.callback(ports.release)
        store = PlatformStore()
        stack.callback(store.close)
        _publish(store)
        gateways: list[GatewayProcess] = []
        for number in range(count):
            seeds = ",".join(gateway.control for gateway in gateways[:3])
            gateways.append(
                GatewayProcess(f"g{number}", folder, store.address, seeds, ports)
            )
            stack.callback(gateways[-1].stop)
        for gateway in gateways:
            wait_until(gateway.is_ready, START_TIMEOUT_S)
        time.sleep(SETTLE_S)
        before = [_usage(gateway) for gateway in gateways]
        time.sleep(seconds)
        after = [_usage(gateway) for gateway in gateways]
    pairs = list(zip(before, after, strict=True))
    used = [late.processor_s - early.processor_s for early, late in pairs]
    sent = [late.sent_bytes - early.sent_bytes for early, late in pairs]
    memory = [late.memory_mb for late in after]
    return {
        "bench": "gateway_slopes",
        "commit": revision(),
        "hosts": count,
        "seconds": seconds,
        "core_percent": round(100 * statistics.median(used) / seconds, 2),
        "core_percent_busiest": round(100 * max(used) / seconds, 2),
        "sent_kb_per_s": round(statistics.median(sent) / seconds / 1_000, 2),
        "sent_kb_per_s_busiest": round(max(sent) / seconds / 1_000, 2),
        "memory_mb": round(statistics.median(memory), 1),
    }


def _publish(store: PlatformStore) -> None:
    store.put("op/config", configuration(1, *ROUTES))
    for number in range(TARGETS):
        entry = target_entry(f"shard-{number}", f"127.0.0.1:{number + 1}")
        store.put(f"servers/t{number}", entry)


def _usage(gateway: GatewayProcess) -> Usage:
    stats = read_process_stats(gateway.process.pid)
    response = gateway.get("/metrics", 4)
    text: str = response.body.decode()  # type: ignore[attr-defined]
    sent = sum(float(value) for value in SENT_BYTES.findall(text))
    return Usage(stats.cpu_s, sent, stats.rss_mb)


if __name__ == "__main__":
    main()
