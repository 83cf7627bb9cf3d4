"""Tests of `lavendertide.daemon.counted_exchanges`."""

import unittest
from unittest import mock

from bench.codec import build_frame
from lavendertide.daemon.counted_exchanges import CountedExchange
from lavendertide.messages import Declined, DeclineReason
from lavendertide.metrics.metrics import Metrics

REQUEST = build_frame(1).items[0]


class FailingMetricsTest(unittest.TestCase):
    """A metric that fails leaves the reply.

    Guards against replies of targets that were lost with a count.
    """

    def test_the_reply_is_returned(self) -> None:
        reply = Declined(REQUEST.attempt, DeclineReason.SHED)
        inner = mock.Mock()
        inner.run.return_value = reply
        for name in ("observe_queueing", "count_sub_request"):
            with (
                self.subTest(name),
                mock.patch.object(Metrics, name, side_effect=KeyError),
            ):
                exchange = CountedExchange(inner, Metrics(), 1.0)
                self.assertEqual(exchange.run(REQUEST, 1.0), reply)
