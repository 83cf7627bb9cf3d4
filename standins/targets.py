"""Runs many stand-in targets and one control endpoint in a process.

`python -m standins.targets SPEC` reads a JSON file:
`{"control": "IP:port", "seed": 1, "targets": [{"target": ..., "address": ...,
"behaviour": {...}}]}`. The control endpoint serves `GET /v1/counts`,
`POST /v1/change` with `{"target": ..., "behaviour": {...}}` and `POST /v1/crash` with
`{"target": ...}`.
"""

import lavendertide.runtime.patching  # noqa: F401, I001  (has to come first)

import dataclasses
import json
import sys
from pathlib import Path
from typing import Any

import eventlet
from eventlet import wsgi

from standins.http_json import Reply, application
from standins.target import StandInTarget, WrongReplyField, TargetBehaviour, TargetState


def decode_behaviour(document: dict[str, Any]) -> dict[str, Any]:
    """Decodes the fields of a `TargetBehaviour` from JSON."""
    fields = dict(document)
    for name in ("state", "health_says"):
        if fields.get(name) is not None:
            fields[name] = TargetState(fields[name])
    if "misreply" in fields:
        fields["misreply"] = WrongReplyField(fields["misreply"])
    if "versions" in fields:
        held = fields["versions"].items()
        fields["versions"] = {int(version): shards for version, shards in held}
    return fields


class Control:
    """Handles control requests for the targets of one process."""

    def __init__(self, targets: list[StandInTarget]) -> None:
        self._targets = {target.name: target for target in targets}

    def handle(self, method: str, path: str, query: str, body: Any) -> Reply:
        """Handles one control request."""
        match path:
            case "/v1/counts":
                return 200, {name: _counts(t) for name, t in self._targets.items()}
            case "/v1/change":
                target = self._targets[body["target"]]
                fields = decode_behaviour(body["behaviour"])
                target.behaviour = dataclasses.replace(target.behaviour, **fields)
                return 200, {}
            case "/v1/crash":
                self._targets[body["target"]].crash()
                return 200, {}
        return 404, {}


def _counts(target: StandInTarget) -> dict[str, Any]:
    counts = dataclasses.asdict(target.counts)
    counts["executions"] = dict(target.executions)
    return counts


def main() -> None:
    """Serves all targets of a specification until the process is killed."""
    specification = json.loads(Path(sys.argv[1]).read_text())
    targets = [
        StandInTarget(
            entry["target"],
            entry["address"],
            TargetBehaviour(**decode_behaviour(entry["behaviour"])),
            specification["seed"],
        )
        for entry in specification["targets"]
    ]
    for target in targets:
        eventlet.spawn(target.serve)
    host, port = specification["control"].split(":")
    control = application(Control(targets).handle)
    wsgi.server(eventlet.listen((host, int(port))), control, log_output=False)


if __name__ == "__main__":
    main()
