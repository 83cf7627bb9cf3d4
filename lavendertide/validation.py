"""What is wrong with a document that `pydantic` has refused."""

from dataclasses import dataclass
from typing import Final

from pydantic import ValidationError

PLAIN_WORDS: Final = {
    "extra_forbidden": "there is no such key",
    "missing": "the key is missing",
}


@dataclass(frozen=True, slots=True)
class DocumentProblem:
    """The first thing that is wrong with a document.

    Attributes:
        place: Path inside the document; empty for the document itself.
        message: What is wrong there, without a full stop.
    """

    place: str
    message: str

    def describe(self, document_name: str) -> str:
        """Returns place and message in one line.

        Args:
            document_name: The place to name for the document itself.
        """
        return f"{self.place or document_name}: {self.message}"


def first_problem(error: ValidationError) -> DocumentProblem:
    """Returns the first of the problems that `pydantic` has found."""
    problem = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in problem["loc"])
    return DocumentProblem(place, PLAIN_WORDS.get(problem["type"], problem["msg"]))
