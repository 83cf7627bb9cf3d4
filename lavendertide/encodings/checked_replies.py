"""Checks the status lines of replies that the standard library reads.

`http.client`, and thus `urllib3`, accepts any minor version and any three digits as a
status, also with zeros, a sign, an underscore or white space before or between them. It
takes interim responses other than 100 for the reply, and skips those without end.
"""

import re
from http import client
from typing import Final

import urllib3
from urllib3.connection import HTTPConnection

# RFC 9112, section 4; a status outside 100 to 599 is invalid (RFC 9110, section 15).
STATUS_LINE: Final = re.compile(rb"HTTP/(1\.[01]) ([1-5][0-9]{2})(?: ([^\r\n]*))?\r?\n")
STATUS_LINE_MAX_BYTES: Final = 65_536
# Reading them doesn't let other tasks run while more of them arrive.
INTERIM_REPLIES_MAX: Final = 100
SHOWN_MAX_BYTES: Final = 80
HTTP_SCHEME: Final = "http"


class CheckedReply(client.HTTPResponse):
    """A reply whose status line is checked; interim responses before it are skipped."""

    def _read_status(self) -> tuple[str, int, str]:
        """Overrides how the standard library reads status lines.

        Raises:
            client.HTTPException: The data is not a reply.
            OSError: The connection is broken.
        """
        for _ in range(INTERIM_REPLIES_MAX + 1):
            line = self.fp.readline(STATUS_LINE_MAX_BYTES)
            if not line.endswith(b"\n") and len(line) < STATUS_LINE_MAX_BYTES:
                raise client.RemoteDisconnected("closed without a status line")
            match = STATUS_LINE.fullmatch(line)
            if match is None:
                raise client.BadStatusLine(repr(line[:SHOWN_MAX_BYTES]))
            status = int(match[2])
            if status == client.SWITCHING_PROTOCOLS:
                # No request asks for another protocol.
                raise client.UnknownProtocol(repr(line[:SHOWN_MAX_BYTES]))
            if status >= client.OK:
                reason = (match[3] or b"").decode("latin-1")
                return f"HTTP/{match[1].decode()}", status, reason
            client.parse_headers(self.fp)
        raise client.HTTPException("too many interim responses")


class CheckedConnection(HTTPConnection):
    """Connection of `urllib3` whose replies are checked."""

    response_class = CheckedReply


class CheckedPool(urllib3.HTTPConnectionPool):
    """Pool of connections to one address whose replies are checked."""

    ConnectionCls = CheckedConnection


def checked_pool_manager(maxsize: int = 1) -> urllib3.PoolManager:
    """Returns pools of connections to several addresses; nothing is repeated.

    Args:
        maxsize: Number of connections that are kept for each address.
    """
    manager = urllib3.PoolManager(maxsize=maxsize, retries=False)
    classes = manager.pool_classes_by_scheme
    manager.pool_classes_by_scheme = classes | {HTTP_SCHEME: CheckedPool}
    return manager
