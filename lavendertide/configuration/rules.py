"""Validation of a publication outside a daemon.

`lavendertide check` validates publications with the code of the daemon, so that both
refuse the same publications with the same message.
"""

from returns.result import Result

from lavendertide.configuration.lists import Publication
from lavendertide.configuration.revision import read_revision
from lavendertide.errors import Refusal


def check_publication(text: bytes) -> Result[Publication, Refusal]:
    """Checks the text of a publication.

    Args:
        text: JSON of the form `{"plans": ..., "uses": ...}`.

    Returns:
        The publication, or the first problem with its remedy.
    """
    return read_revision(text, None).map(lambda revision: revision.publication)
