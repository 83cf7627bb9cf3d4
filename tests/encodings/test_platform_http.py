"""Tests of `lavendertide.encodings.platform_http`."""

import unittest
from typing import Any

import urllib3

from lavendertide.encodings.platform_http import (
    CONNECT_TIMEOUT_S,
    HttpConfigurationReader,
)
from lavendertide.ids import Address, ConfigurationVersion


class RecordingPool:
    """Keeps the timeout that a request was made with."""

    def __init__(self) -> None:
        self.timeout: urllib3.Timeout | None = None

    def request(self, method: str, path: str, **arguments: Any) -> Any:
        self.timeout = arguments["timeout"]
        raise urllib3.exceptions.HTTPError("recorded")


class HttpConfigurationReaderTest(unittest.TestCase):
    """A watch is given up only after the time that the service may take."""

    def test_a_watch_outlasts_its_wait(self) -> None:
        reader = HttpConfigurationReader(Address("127.0.0.1:1"))
        pool = RecordingPool()
        reader._pool = pool  # type: ignore[assignment]
        reader.watch(ConfigurationVersion(0), 20.0)
        assert pool.timeout is not None
        self.assertIsNone(pool.timeout.total)
        self.assertEqual(pool.timeout.connect_timeout, CONNECT_TIMEOUT_S)
        self.assertGreater(pool.timeout.read_timeout or 0, 20.0)


if __name__ == "__main__":
    unittest.main()
