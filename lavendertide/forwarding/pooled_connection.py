"""One connection of a pool, and which requests it may carry."""

import math
from typing import Final

from lavendertide.forwarding.messages import Replied, TargetReply
from lavendertide.forwarding.target_call import TargetCall, TargetChannel
from lavendertide.ids import CallerRequestId
from lavendertide.runtime import clock

# A reachable target accepts a connection within milliseconds; an unreachable one never
# replies.
CONNECT_TIMEOUT_S: Final = 0.25
# Requests that a connection remembers to have carried without success. With more it is
# replaced by a new one.
UNSUCCESSFUL_MAX: Final = 256
# Longest rest of a connection after which it carries a request that can't be repeated.
# Targets may forget connections that rest for a few tenths of a second. Whether they
# have run what is sent on such a connection is unknown.
RESTED_MAX_S: Final = 0.1


class PooledConnection:
    """A connection of a pool, and the requests that must not be sent on it again.

    A target may send a second copy of a reply late, where it should send the next one.
    The copy bears the id of its request, so it is skipped, unless the same request is
    waiting on the connection once more: then the copy looks like the reply to the
    second attempt. So a request that has ended without success, and may therefore be
    repeated, is never sent twice on one connection.
    """

    def __init__(self, channel: TargetChannel) -> None:
        self._channel = channel
        self._unsuccessful: set[CallerRequestId] = set()
        self._used_at_s = -math.inf

    def make_usable(self, call: TargetCall, now_s: float) -> bool:
        """Opens a new connection if the open one can't carry a call.

        Returns:
            Whether the call may be sent; if not, the target accepts no connection.
        """
        has_rested = now_s - self._used_at_s > RESTED_MAX_S
        is_fresh = (
            call.request.request not in self._unsuccessful
            and len(self._unsuccessful) < UNSUCCESSFUL_MAX
            and (call.is_repeatable or not has_rested)
        )
        if is_fresh and self._channel.is_usable(now_s):
            call.is_on_rested = has_rested
            return True
        self._unsuccessful.clear()
        if not self._channel.open(min(CONNECT_TIMEOUT_S, call.ends_at_s - now_s)):
            return False
        # A target with too many connections resets new ones. Nobody could say whether
        # it has run what is sent after its reset.
        return call.is_repeatable or self._channel.is_usable(clock.monotonic_s())

    def exchange(self, call: TargetCall, now_s: float) -> TargetReply:
        """Sends a request and waits for its reply."""
        call.is_sent = True
        call.channel = self._channel
        try:
            reply = self._channel.exchange(call, now_s)
        finally:
            call.channel = None
            self._used_at_s = clock.monotonic_s()
        match reply:
            case Replied() if reply.is_success:
                pass
            case _:
                self._unsuccessful.add(call.request.request)
        return reply

    def close(self) -> None:
        """Closes the connection."""
        self._channel.close()

    def release(self) -> None:
        """Closes the connection and frees its descriptor; no exchange may run."""
        self._channel.release()
