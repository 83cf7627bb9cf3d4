"""Generates an open load of searches: arrivals do not wait for earlier responses.

`python -m bench.load SPEC` reads a `LoadSpec` as JSON and writes one JSON line for
each search. Arrivals are random, with a given mean rate and seed.
"""

import lavendertide.runtime.patching  # noqa: F401, I001  (has to come first)

import itertools
import json
import random
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any, TextIO

import urllib3

from bench.samples import LoadSpec, Sample
from lavendertide.runtime import tasks

CONNECTIONS = 64
TIMEOUT_MARGIN_S = 2.0
GRACE_S = 3.0


class Callers:
    """Sends the searches of one specification and records a sample of each."""

    def __init__(self, spec: LoadSpec, output: TextIO) -> None:
        self._spec = spec
        self._output = output
        self._http = urllib3.PoolManager(maxsize=CONNECTIONS, retries=False)
        self._hosts = itertools.cycle(spec.hosts)
        self._random = random.Random(spec.seed)

    def run(self) -> None:
        """Sends searches for the given duration and waits for the last responses."""
        arrival_s = self._spec.starts_at_s
        ends_at_s = arrival_s + self._spec.duration_s
        number = 0
        while arrival_s < ends_at_s:
            tasks.sleep(max(0.0, arrival_s - time.monotonic()))
            tasks.spawn(self._search, number, arrival_s)
            number += 1
            if number + 1 >= self._spec.burst:
                arrival_s += self._random.expovariate(self._spec.rate_per_s)
        tasks.sleep(self._spec.deadline_ms / 1000 + GRACE_S)

    def _search(self, number: int, arrival_s: float) -> None:
        status, response = self._send(next(self._hosts), number)
        sample = Sample(
            at_s=arrival_s - self._spec.starts_at_s,
            latency_ms=(time.monotonic() - arrival_s) * 1000,
            status=status,
            covered=len(response.get("covered", ())),
            shards=len(response.get("covered", ())) + len(response.get("gaps", ())),
            attempts=response.get("attempts", 0),
            version=response.get("version", 0),
            mixed=_is_mixed(response),
            refusal=response.get("kind", ""),
        )
        self._output.write(json.dumps(asdict(sample)) + "\n")

    def _send(self, host: str, number: int) -> tuple[int, dict[str, Any]]:
        body = {
            "index": self._spec.index,
            "deadline_ms": self._spec.deadline_ms,
            "page_size": 10,
            "body": f"{self._spec.key} {number}",
        }
        try:
            response = self._http.request(
                "POST",
                f"http://{host}/v1/search",
                headers={"X-Caller-Key": self._spec.key},
                json=body,
                timeout=self._spec.deadline_ms / 1000 + TIMEOUT_MARGIN_S,
            )
            return response.status, response.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}


def _is_mixed(response: dict[str, Any]) -> bool:
    versions = {row[0].split("/")[1] for row in response.get("rows", ())}
    return bool(versions - {str(response.get("version"))})


def main() -> None:
    """Runs the specification in the file that the first argument names."""
    fields = json.loads(Path(sys.argv[1]).read_text())
    spec = LoadSpec(**{**fields, "hosts": tuple(fields["hosts"])})
    with Path(spec.output).open("w") as output:
        Callers(spec, output).run()


if __name__ == "__main__":
    main()
