"""Runs the benchmarks of `make bench`, one after the other."""

import subprocess
import sys

BENCHMARKS = ("bench.query_path",)


def main() -> int:
    """Runs each benchmark as a process; returns how many have missed a bound."""
    missed = 0
    for module in BENCHMARKS:
        print(f"== {module}", flush=True)
        missed += subprocess.run([sys.executable, "-m", module], check=False).returncode
    return missed


if __name__ == "__main__":
    sys.exit(main())
