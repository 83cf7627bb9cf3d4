"""Bounds on the connections of a gateway's listeners, and on what it tells callers."""

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
# Hosts that are named to a caller; enough that the failure of one host doesn't fail all
# of its requests.
ADDRESSES_PER_CALLER: Final = 3
# Lifetime of an address answer of a host that knows no other and names itself alone. If
# there are other hosts it learns of them within a second.
ALONE_LIFETIME_S: Final = 1.0
