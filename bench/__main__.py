"""Runs the benchmarks of `make bench`, one after another."""

import subprocess
import sys

BENCHMARKS = (
    "bench.query_path",
    "bench.query_policies",
    "bench.data_path_slopes",
    "bench.fleet_slopes",
    "bench.fleet_state",
    "bench.configuration_spread",
    "bench.plan_shares",
    "bench.codec",
    "bench.forwarding_days",
)


def main() -> int:
    """Runs each benchmark as a process and returns how many missed a bound."""
    missed = 0
    for module in BENCHMARKS:
        print(f"== {module}", flush=True)
        missed += subprocess.run([sys.executable, "-m", module], check=False).returncode
    return missed


if __name__ == "__main__":
    sys.exit(main())
