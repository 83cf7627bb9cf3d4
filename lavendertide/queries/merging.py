"""Merges the results of the shards into one page."""

import heapq
import itertools
from collections.abc import Iterable
from dataclasses import dataclass

from lavendertide.messages import Answered, Row


@dataclass(frozen=True, slots=True)
class Page:
    """The best rows over all covered shards.

    Attributes:
        rows: Best score first, rows with equal scores by key.
        matches: Number of matching rows on the covered shards.
        amount: Sum of the amounts of all matching rows on the covered shards.
    """

    rows: tuple[Row, ...]
    matches: int
    amount: int


def merge(answers: Iterable[Answered], page_size: int) -> Page:
    """Merges answers whose rows are each sorted already.

    Args:
        answers: One answer per covered shard.
        page_size: Maximum number of rows on the page.
    """
    answer_list = list(answers)
    ordered = heapq.merge(*(answer.rows for answer in answer_list), key=_order)
    return Page(
        rows=tuple(itertools.islice(ordered, page_size)),
        matches=sum(answer.matches for answer in answer_list),
        amount=sum(answer.amount for answer in answer_list),
    )


def _order(row: Row) -> tuple[float, str]:
    return -row.score, row.key
