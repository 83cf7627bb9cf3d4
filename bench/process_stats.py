"""Reads the processor time and memory of a process from `/proc`."""

import os
from dataclasses import dataclass
from pathlib import Path

_UTIME_FIELD = 11
_STIME_FIELD = 12
_KB_PER_MB = 1024


@dataclass(frozen=True, slots=True)
class ProcessStats:
    """Resources that a process has used.

    Attributes:
        cpu_s: Processor time since its start, user and system together.
        rss_mb: Present resident memory.
    """

    cpu_s: float
    rss_mb: float


def read_process_stats(pid: int) -> ProcessStats:
    """Reads the statistics of a running process."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_UTIME_FIELD]) + int(fields[_STIME_FIELD])
    return ProcessStats(ticks / os.sysconf("SC_CLK_TCK"), _rss_mb(pid))


def _rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0
