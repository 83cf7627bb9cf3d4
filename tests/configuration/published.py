"""Published lists for tests."""

import json
from typing import Any

from lavendertide.configuration.adoption import Configuration
from standins.deployment import OWNERS, count_targets, place_targets, publication


def todays_lists(version: int = 1) -> dict[str, Any]:
    """Returns the lists of today's deployments."""
    addresses = [f"127.0.0.1:{10_000 + n}" for n in range(count_targets(OWNERS))]
    return publication(OWNERS, place_targets(OWNERS, addresses), version)


def text_of(lists: dict[str, Any]) -> bytes:
    """Returns lists as the configuration service would hand them out."""
    return json.dumps(lists).encode()


def published(version: int, rate_per_s: float = 400.0) -> bytes:
    """Returns a good publication whose first plan has a rate of its own."""
    lists = todays_lists(version)
    lists["plans"]["plans"][0]["rate_per_s"] = rate_per_s
    return text_of(lists)


def bad_publication(version: int) -> bytes:
    """Returns a publication in which a plan uses a neighbour's index."""
    lists = todays_lists(version)
    lists["uses"]["uses"][0]["index"] = "voucher-finder"
    return text_of(lists)


def configured(*texts: bytes) -> Configuration:
    """Returns a configuration to which texts were offered in turn."""
    configuration = Configuration()
    for text in texts:
        configuration.adopt_text(text, 0.0)
    return configuration
