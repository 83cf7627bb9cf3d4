"""Wraps the JSON handlers of the stand-ins as WSGI applications."""

import json
from collections.abc import Callable, Iterable
from typing import Any

Reply = tuple[int, dict[str, Any] | None]
Handler = Callable[[str, str, str, dict[str, Any]], Reply]


def application(handle: Handler) -> Callable[..., Iterable[bytes]]:
    """Returns a WSGI application that decodes and encodes JSON for a handler.

    Args:
        handle: Called with method, path, query string and JSON body; returns the
            status and the JSON body of the response.
    """

    def serve(environment: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        length = int(environment.get("CONTENT_LENGTH") or 0)
        data = environment["wsgi.input"].read(length) if length else b"{}"
        status, reply = handle(
            environment["REQUEST_METHOD"],
            environment["PATH_INFO"],
            environment.get("QUERY_STRING", ""),
            json.loads(data),
        )
        body = b"" if reply is None else json.dumps(reply).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response(f"{status} -", headers)
        return [body]

    return serve
