"""Generates the example files and the settings page from the code.

`python -m standins.examples` writes `examples/` and docs/SETTINGS.md. A test fails if
the files in the repository differ from what this module generates.
"""

import json
from pathlib import Path
from typing import Final

from lavendertide.settings_reference import REQUIRED, SettingRow, setting_rows
from standins.deployment import (
    ASSOCIATION,
    KOINOPRAXIA,
    OWNERS,
    OwnerSpec,
    build_publication,
    count_targets,
    place_targets,
)

ROOT: Final = Path(__file__).parent.parent
LINE_MAX: Final = 88
TARGETS_PER_NET: Final = 200
ASSOCIATION_NET: Final = "10.10"
KOINOPRAXIA_NET: Final = "10.20"

_PAGE_HEAD: Final = """# Settings

A daemon reads one YAML file: `lavendertided SETTINGS`. `lavendertide check FILE...`
checks files by the same rules and names file, line and remedy; `lavendertide settings`
prints this table. Unknown keys, values of another type or out of bounds, and keys that
contradict each other are refused. `examples/` holds a file with every key for each
owner.

Each key's name ends in its unit: `_s` seconds, `_ms` milliseconds, `_bytes` bytes.
Where a section has a `policy`, the other keys of the section depend on it; the table
names the policy that has them.

| key | unit | default | bounds | meaning |
| --- | --- | --- | --- | --- |
"""

_PAGE_TAIL: Final = """
Between keys:

- `addresses`: the three addresses differ, and those for callers and peers are not
  `0.0.0.0`, since other processes receive them to connect to.
- `admin.operator_keys`: at least one, unless `addresses.admin` is on the loopback
  address. Without operator keys, a request without a key has an operator's rights.
- `platform`: no service has an address of the daemon itself.
- `fleet.seeds`: each other daemon once, never the daemon itself.
- `fleet.lease_s`: at least two heartbeats.
- `queries`: `reply_max_bytes` is at most `query_max_bytes`, which is at most
  `results_max_bytes`.
- `policies.hedging.delay_min_ms`: shorter than `queries.deadline_max_ms`.
- `tickets`: `kept_per_plan_max` is at most `kept_max`, and `lifetime_s` is at least
  `queries.deadline_max_ms`.
"""


def example_files() -> dict[Path, str]:
    """Returns the text of each generated file, keyed by its path in the repository."""
    return {
        Path("examples/association.yaml"): _settings(ASSOCIATION, ASSOCIATION_NET),
        Path("examples/koinopraxia.yaml"): _settings(KOINOPRAXIA, KOINOPRAXIA_NET),
        Path("examples/lists.json"): _lists(),
        Path("docs/SETTINGS.md"): _page(),
    }


def _lists() -> str:
    addresses = [
        f"10.30.{number // TARGETS_PER_NET}.{number % TARGETS_PER_NET + 1}:7000"
        for number in range(count_targets(OWNERS))
    ]
    lists = build_publication(OWNERS, place_targets(OWNERS, addresses), 1)
    return json.dumps(lists, indent=1) + "\n"


def _values(owner: OwnerSpec, net: str) -> dict[str, str]:
    """Returns the values of the settings that differ between daemons."""
    seeds = ", ".join(f'"{net}.{number}.1:7101"' for number in (2, 3, 4))
    return {
        "place.daemon": f"{owner.owner}-1",
        "place.host": f"{owner.owner}-host-1",
        "place.region": owner.region,
        "place.failure_domain": owner.failure_domains[0],
        "addresses.callers": f'"{net}.1.1:7100"',
        "addresses.peers": f'"{net}.1.1:7101"',
        "addresses.admin": '"127.0.0.1:7102"',
        "platform.configuration": '"10.1.0.1:8000"',
        "platform.membership": '"10.1.0.2:8000"',
        "fleet.key": "replace-by-a-secret-of-the-fleet",
        "fleet.seeds": f"[{seeds}]",
    }


def _settings(owner: OwnerSpec, net: str) -> str:
    values = _values(owner, net)
    lines = [
        f"# Settings of the first daemon of {owner.owner}, with every key.",
        "# A key that is left out has the value given here if it has a default.",
    ]
    open_sections: list[str] = []
    for row in setting_rows():
        *sections, key = row.path.split(".")
        headers = _headers(open_sections, sections)
        lines.extend(f"# {h}" if h and row.is_optional else h for h in headers)
        open_sections = sections
        indent = "  " * len(sections)
        lines.extend(_comment(row, indent))
        value = values.get(row.path, row.default)
        is_used = row.variant in ("", _default_policy(sections)) and not row.is_optional
        mark = "" if is_used else "# "
        lines.append(f"{indent}{mark}{key}: {value}")
    return "\n".join(lines) + "\n"


def _default_policy(sections: list[str]) -> str:
    path = ".".join([*sections, "policy"])
    return next((row.default for row in setting_rows() if row.path == path), "")


def _headers(open_sections: list[str], sections: list[str]) -> list[str]:
    lines = []
    for depth, section in enumerate(sections):
        if open_sections[: depth + 1] != sections[: depth + 1]:
            if depth == 0:
                lines.append("")
            lines.append(f"{'  ' * depth}{section}:")
    return lines


def _comment(row: SettingRow, indent: str) -> list[str]:
    meaning = f"Policy {row.variant}: {row.meaning}" if row.variant else row.meaning
    words = meaning.replace("`", "").split()
    lines = [f"{indent}#"]
    for word in words:
        if len(lines[-1]) + 1 + len(word) > LINE_MAX:
            lines.append(f"{indent}#")
        lines[-1] += f" {word}"
    return lines


def _page() -> str:
    return _PAGE_HEAD + "".join(map(_table_row, setting_rows())) + _PAGE_TAIL


def _table_row(row: SettingRow) -> str:
    default = REQUIRED if row.default == REQUIRED else f"`{row.default}`"
    meaning = f"(policy `{row.variant}`) {row.meaning}" if row.variant else row.meaning
    cells = (f"`{row.path}`", row.unit, default, row.bounds, meaning)
    return "| " + " | ".join(cells) + " |\n"


def main() -> None:
    """Writes all generated files into the repository."""
    for path, text in example_files().items():
        target = ROOT / path
        target.parent.mkdir(exist_ok=True)
        target.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
