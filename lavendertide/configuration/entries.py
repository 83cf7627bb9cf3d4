"""Entries of a publication: its plans, indexes and entitlements.

An entry is checked once and kept with its digest. When the next publication arrives,
entries with a known digest are reused, so that the cost of adopting a change is
proportional to its size.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Final

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from lavendertide.configuration.contradictions import entry_contradictions
from lavendertide.configuration.lists import EntitlementEntry, IndexEntry, PlanEntry
from lavendertide.ids import ConfigurationDigest, ConfigurationVersion, EntryKey
from lavendertide.messages import ConfigurationStamp, EntryKind, EntryText
from lavendertide.validation import DocumentProblem, first_problem

ENTRY_DIGEST_BYTES: Final = 16
STAMP_DIGEST_BYTES: Final = 8

EntryModel = PlanEntry | IndexEntry | EntitlementEntry


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry that has passed the checks.

    Attributes:
        key: Name of the entry in its publication.
        text: The entry as canonical JSON.
        digest: Digest of kind and text.
    """

    kind: EntryKind
    key: EntryKey
    text: bytes
    digest: bytes
    model: EntryModel


def canonical_text(value: Any) -> bytes:
    """Returns JSON that is independent of formatting and key order."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def entry_digest(kind: EntryKind, text: bytes) -> bytes:
    """Returns the digest of an entry's kind and canonical text."""
    digest = blake2b(kind.value.encode(), digest_size=ENTRY_DIGEST_BYTES)
    digest.update(b"\n")
    digest.update(text)
    return digest.digest()


def read_entry(
    entry: EntryText, known: Mapping[bytes, Entry]
) -> Result[Entry, DocumentProblem]:
    """Checks an entry unless one with the same digest was checked before.

    Args:
        entry: The entry as canonical JSON.
        known: Checked entries by digest.
    """
    digest = entry_digest(entry.kind, entry.text)
    checked = known.get(digest)
    if checked is not None:
        return Success(checked)
    try:
        model = _validate(entry)
    except ValidationError as error:
        return Failure(first_problem(error))
    for message in entry_contradictions(model):
        return Failure(DocumentProblem("", message))
    return Success(Entry(entry.kind, key_of(model), entry.text, digest, model))


def key_of(model: EntryModel) -> EntryKey:
    """Returns the key under which an entry is unique in its publication."""
    match model:
        case PlanEntry(plan=plan):
            return EntryKey(f"{EntryKind.PLAN.value}/{plan}")
        case IndexEntry(index=index):
            return EntryKey(f"{EntryKind.INDEX.value}/{index}")
        case EntitlementEntry(plan=plan, index=index):
            return EntryKey(f"{EntryKind.ENTITLEMENT.value}/{plan}/{index}")


def stamp_of(
    version: ConfigurationVersion, entries: Iterable[Entry]
) -> ConfigurationStamp:
    """Returns the stamp of a publication; the order of its entries has no effect."""
    stamp_digest = blake2b(str(version).encode(), digest_size=STAMP_DIGEST_BYTES)
    for digest in sorted(entry.digest for entry in entries):
        stamp_digest.update(digest)
    return ConfigurationStamp(version, ConfigurationDigest(stamp_digest.digest()))


def _validate(entry: EntryText) -> EntryModel:
    match entry.kind:
        case EntryKind.PLAN:
            return PlanEntry.model_validate_json(entry.text)
        case EntryKind.INDEX:
            return IndexEntry.model_validate_json(entry.text)
        case EntryKind.ENTITLEMENT:
            return EntitlementEntry.model_validate_json(entry.text)
