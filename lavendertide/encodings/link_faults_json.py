"""Decodes the file in which tests configure link faults.

`{"drop_to": [...], "drop_from": [...], "loss": 0.1, "delay_s": 0.05}` lists peer
addresses, the fraction of frames that are lost, and a delay before each frame. With
`"distances": [{"delay_s": 0.005, "loss": 0.001, "peers": [...]}]`, frames to some peers
are lost and delayed in addition, as on a link over a longer distance.
"""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, ValidationError

from lavendertide.fleet.link_faults import Distance, FaultRules


class DistanceDocument(BaseModel):
    """Additional delay in seconds and loss of frames to some peers."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    delay_s: float = 0.0
    loss: float = 0.0
    peers: frozenset[str] = frozenset()


class FaultDocument(BaseModel):
    """Content of the file; `lavendertide.fleet.link_faults` explains the fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    drop_to: frozenset[str] = frozenset()
    drop_from: frozenset[str] = frozenset()
    loss: float = 0.0
    delay_s: float = 0.0
    distances: tuple[DistanceDocument, ...] = ()


def decode_rules(data: bytes) -> FaultRules:
    """Returns the rules in a file's content.

    Raises:
        ValidationError: The content does not have this form.
    """
    document = FaultDocument.model_validate_json(data)
    return FaultRules(
        document.drop_to,
        document.drop_from,
        document.loss,
        document.delay_s,
        tuple(Distance(d.delay_s, d.loss, d.peers) for d in document.distances),
    )


def read_rules(path: Path) -> FaultRules | None:
    """Reads the rules from a file; none if a test has not written it completely yet."""
    try:
        return decode_rules(path.read_bytes())
    except (OSError, ValidationError):
        return None
