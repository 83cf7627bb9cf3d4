"""Descriptions of validation errors that `pydantic` raises for a document."""

from dataclasses import dataclass
from typing import Final

from pydantic import ValidationError

MESSAGES_BY_TYPE: Final = {
    "extra_forbidden": "there is no such key",
    "missing": "the key is missing",
}


@dataclass(frozen=True, slots=True)
class DocumentProblem:
    """The first validation error of a document.

    Attributes:
        place: Path inside the document; empty for the document itself.
        message: The error at that path, without a full stop.
    """

    place: str
    message: str

    def describe(self, document_name: str) -> str:
        """Returns path and message in one line.

        Args:
            document_name: Used in place of an empty path.
        """
        return f"{self.place or document_name}: {self.message}"


def first_problem(error: ValidationError) -> DocumentProblem:
    """Returns the first error that `pydantic` has found."""
    problem = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in problem["loc"])
    return DocumentProblem(place, MESSAGES_BY_TYPE.get(problem["type"], problem["msg"]))
