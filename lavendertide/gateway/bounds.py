"""Bounds on the connections of a gateway's listeners."""

from typing import Final

# Callers' connections where the host's descriptors are not known.
CONNECTIONS_MAX: Final = 2_000
# Connections above the bound that are accepted to be refused, or for which others are
# just being closed.
ACCEPTED_ABOVE_BOUND: Final = 16
ENTRY_CONNECTIONS_MAX: Final = 200
# The same for all entry listeners together where the host's descriptors are known; it
# is part of those that callers' connections leave free.
ENTRY_CONNECTIONS_BOUND: Final = 100
