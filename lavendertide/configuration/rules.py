"""The rules of a publication as one function.

The daemon and `lavendertide check` read publications in the same way, so that one is
refused everywhere or nowhere, with the same words.
"""

from returns.result import Result

from lavendertide.configuration.lists import Publication
from lavendertide.configuration.revision import read_revision
from lavendertide.errors import Refusal


def check_publication(text: bytes) -> Result[Publication, Refusal]:
    """Checks both lists.

    Args:
        text: JSON of the form `{"plans": ..., "uses": ...}`.

    Returns:
        The publication, or the first problem with its remedy.
    """
    return read_revision(text, None).map(lambda revision: revision.publication)
