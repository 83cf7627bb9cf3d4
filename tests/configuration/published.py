"""Published lists for the tests of the configuration."""

import json
from typing import Any

from lavendertide.configuration.adoption import Configuration
from standins.deployment import OWNERS, build_publication, count_targets, place_targets


def deployment_lists(version: int = 1) -> dict[str, Any]:
    """Returns the lists of the deployments in `standins.deployment`."""
    addresses = [f"127.0.0.1:{10_000 + n}" for n in range(count_targets(OWNERS))]
    return build_publication(OWNERS, place_targets(OWNERS, addresses), version)


def text_of(lists: dict[str, Any]) -> bytes:
    """Returns lists as the configuration service would publish them."""
    return json.dumps(lists).encode()


def published(version: int, rate_per_s: float = 400.0) -> bytes:
    """Returns a valid publication whose first plan has the given rate."""
    lists = deployment_lists(version)
    lists["plans"]["plans"][0]["rate_per_s"] = rate_per_s
    return text_of(lists)


def invalid_publication(version: int) -> bytes:
    """Returns a publication that entitles a plan to another owner's index."""
    lists = deployment_lists(version)
    lists["uses"]["uses"][0]["index"] = "voucher-finder"
    return text_of(lists)


def configured(*texts: bytes) -> Configuration:
    """Returns a configuration that was given the texts in this order."""
    configuration = Configuration()
    for text in texts:
        configuration.adopt_text(text, 0.0)
    return configuration
