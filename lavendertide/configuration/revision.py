"""Validated version of both lists, as a set of entries.

A `Revision` is parsed from a published text or built from the previous revision and a
delta. In both cases all rules are checked.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from lavendertide.configuration.contradictions import (
    PUBLICATION_MAX_BYTES,
    contradictions,
    publication_refusal,
)
from lavendertide.configuration.entries import (
    Entry,
    canonical_text,
    read_entry,
    stamp_of,
)
from lavendertide.configuration.lists import (
    EntitlementEntry,
    IndexEntry,
    Outline,
    PlanEntry,
    PlansList,
    Publication,
    UsesList,
)
from lavendertide.errors import Refusal
from lavendertide.ids import ConfigurationVersion, EntryKey
from lavendertide.messages import (
    ConfigurationDelta,
    ConfigurationStamp,
    EntryKind,
    EntryText,
)
from lavendertide.validation import DocumentProblem, first_problem

ENTRY_PATHS: Final = {
    EntryKind.PLAN: "plans.plans",
    EntryKind.INDEX: "uses.indexes",
    EntryKind.ENTITLEMENT: "uses.uses",
}


class Revision:
    """Checked entries of one version, and the publication that they make up."""

    def __init__(self, publication: Publication, entries: Iterable[Entry]) -> None:
        self._publication = publication
        self._entries = {entry.key: entry for entry in entries}
        version = ConfigurationVersion(publication.plans.version)
        self._stamp = stamp_of(version, self._entries.values())

    @property
    def stamp(self) -> ConfigurationStamp:
        """Version, and digest over all entries."""
        return self._stamp

    @property
    def publication(self) -> Publication:
        """The models of both lists."""
        return self._publication

    @property
    def entries(self) -> Mapping[EntryKey, Entry]:
        """All entries by key."""
        return self._entries

    @property
    def text(self) -> bytes:
        """Both lists as JSON, with the entries in canonical form."""
        version = self._stamp.version
        return (
            f'{{"plans":{{"version":{version},"plans":['.encode()
            + self._join_texts(EntryKind.PLAN)
            + f']}},"uses":{{"version":{version},"indexes":['.encode()
            + self._join_texts(EntryKind.INDEX)
            + b'],"uses":['
            + self._join_texts(EntryKind.ENTITLEMENT)
            + b"]}}"
        )

    def changes_since(self, previous: "Revision | None") -> frozenset[EntryKey]:
        """Returns the keys of entries that differ from an earlier revision."""
        previous_entries = previous.entries if previous is not None else {}
        changed = {
            key
            for key, entry in self._entries.items()
            if key not in previous_entries
            or previous_entries[key].digest != entry.digest
        }
        return frozenset(changed | (previous_entries.keys() - self._entries.keys()))

    def _join_texts(self, kind: EntryKind) -> bytes:
        return b",".join(e.text for e in self._entries.values() if e.kind is kind)


def read_revision(text: bytes, known: Revision | None) -> Result[Revision, Refusal]:
    """Parses and checks a publication.

    Args:
        text: JSON of the form `{"plans": ..., "uses": ...}`.
        known: A checked revision, whose entries are not checked again.

    Returns:
        The revision, or the first problem with its remedy.
    """
    if len(text) > PUBLICATION_MAX_BYTES:
        return Failure(
            publication_refusal(
                f"the document: {len(text)} bytes are more than the "
                f"{PUBLICATION_MAX_BYTES} that a publication may have."
            )
        )
    try:
        outline = Outline.model_validate(json.loads(text.decode("utf-8")))
    except ValidationError as error:
        problem = first_problem(error).describe("the document")
        return Failure(publication_refusal(f"{problem}."))
    except (ValueError, RecursionError) as error:
        return Failure(publication_refusal(f"the document: not JSON: {error}."))
    return _check_outline(outline, known)


def apply_delta(
    known: Revision, delta: ConfigurationDelta
) -> Result[Revision, Refusal]:
    """Builds the revision that a delta leads to, and checks all of its rules."""
    entries = dict(known.entries)
    for key in delta.removed:
        entries.pop(key, None)
    for changed in delta.changed:
        match read_entry(changed, {}):
            case Success(entry):
                entries[entry.key] = entry
            case Failure(problem):
                return Failure(
                    publication_refusal(_describe_problem(changed.kind, problem))
                )
    publication = _build_publication(
        delta.stamp.version, delta.stamp.version, list(entries.values())
    )
    return _build_revision(publication, list(entries.values()))


def _check_outline(
    outline: Outline, known: Revision | None
) -> Result[Revision, Refusal]:
    checked = {e.digest: e for e in known.entries.values()} if known else {}
    entries: list[Entry] = []
    for place, raw in _raw_entries(outline):
        match read_entry(raw, checked):
            case Success(entry):
                entries.append(entry)
            case Failure(problem):
                path = f"{place}.{problem.place}" if problem.place else place
                return Failure(publication_refusal(f"{path}: {problem.message}."))
    publication = _build_publication(
        outline.plans.version, outline.uses.version, entries
    )
    return _build_revision(publication, entries)


def _build_revision(
    publication: Publication, entries: list[Entry]
) -> Result[Revision, Refusal]:
    for problem in contradictions(publication):
        return Failure(publication_refusal(problem))
    return Success(Revision(publication, entries))


def _raw_entries(outline: Outline) -> Iterator[tuple[str, EntryText]]:
    lists: tuple[tuple[EntryKind, list[Any]], ...] = (
        (EntryKind.PLAN, outline.plans.plans),
        (EntryKind.INDEX, outline.uses.indexes),
        (EntryKind.ENTITLEMENT, outline.uses.uses),
    )
    for kind, values in lists:
        for number, value in enumerate(values):
            yield (
                f"{ENTRY_PATHS[kind]}.{number}",
                EntryText(kind, canonical_text(value)),
            )


def _build_publication(
    plans_version: int, uses_version: int, entries: list[Entry]
) -> Publication:
    models = [entry.model for entry in entries]
    plans = tuple(model for model in models if isinstance(model, PlanEntry))
    indexes = tuple(model for model in models if isinstance(model, IndexEntry))
    uses = tuple(model for model in models if isinstance(model, EntitlementEntry))
    return Publication.model_construct(
        plans=PlansList.model_construct(version=plans_version, plans=plans),
        uses=UsesList.model_construct(version=uses_version, indexes=indexes, uses=uses),
    )


def _describe_problem(kind: EntryKind, problem: DocumentProblem) -> str:
    place = f"{ENTRY_PATHS[kind]}.{problem.place}".rstrip(".")
    return f"{place}: {problem.message}."
