"""Rules that a publication must keep as a whole.

The daemon and `lavendertide check` call the same function, so that a publication is
refused everywhere or nowhere, with the same words.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from lavendertide.configuration.lists import IndexEntry, Publication
from lavendertide.errors import Fault, Refusal, RefusalKind


def check_publication(text: bytes) -> Result[Publication, Refusal]:
    """Checks both lists.

    Args:
        text: JSON of the form `{"plans": ..., "uses": ...}`.

    Returns:
        The publication, or the first contradiction with its remedy.
    """
    try:
        publication = Publication.model_validate_json(text)
    except ValidationError as error:
        return Failure(_refusal(_first_problem(error)))
    for problem in _contradictions(publication):
        return Failure(_refusal(problem))
    return Success(publication)


def _first_problem(error: ValidationError) -> str:
    problem = error.errors(include_url=False)[0]
    place = ".".join(str(part) for part in problem["loc"]) or "the document"
    return f"{place}: {problem['msg']}."


def _refusal(problem: str) -> Refusal:
    return Refusal(
        RefusalKind.BAD_PUBLICATION,
        problem,
        "Mend the entry and publish both lists again under a higher version.",
        Fault.CALLER,
    )


def _contradictions(publication: Publication) -> Iterator[str]:
    plans = publication.plans
    uses = publication.uses
    if plans.version != uses.version:
        yield (
            f"plans.version is {plans.version} but uses.version is {uses.version}; "
            "both lists are one version."
        )
    yield from _repeated("plans.plans", (entry.plan for entry in plans.plans))
    yield from _repeated("caller key", (key for e in plans.plans for key in e.keys))
    yield from _repeated("uses.indexes", (entry.index for entry in uses.indexes))
    yield from _repeated(
        "target", (t.target for entry in uses.indexes for t in entry.targets)
    )
    for index in uses.indexes:
        yield from _index_contradictions(index)
    yield from _use_contradictions(publication)


def _repeated(place: str, names: Iterable[str]) -> Iterator[str]:
    for name, count in Counter(names).items():
        if count > 1:
            yield f"{place}: '{name}' stands {count} times."


def _index_contradictions(index: IndexEntry) -> Iterator[str]:
    known = {entry.target for entry in index.targets}
    yield from _repeated(
        f"versions of '{index.index}'", (str(e.version) for e in index.versions)
    )
    for version in index.versions:
        for number, replicas in enumerate(version.shards):
            place = f"index '{index.index}' version {version.version} shard {number}"
            if not replicas:
                yield f"{place}: no target holds it."
            for target in replicas:
                if target not in known:
                    yield f"{place}: target '{target}' is not among the targets."


def _use_contradictions(publication: Publication) -> Iterator[str]:
    owners = {entry.plan: entry.owner for entry in publication.plans.plans}
    indexes = {entry.index: entry.owner for entry in publication.uses.indexes}
    for use in publication.uses.uses:
        if use.plan not in owners:
            yield f"uses: plan '{use.plan}' is not in the list of plans."
        elif use.index not in indexes:
            yield f"uses: index '{use.index}' is not among the indexes."
        elif owners[use.plan] != indexes[use.index]:
            yield (
                f"uses: plan '{use.plan}' of '{owners[use.plan]}' may not use index "
                f"'{use.index}' of '{indexes[use.index]}'."
            )
