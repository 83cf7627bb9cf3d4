"""Non-idempotent requests, which run at most once.

The root is `Ledger`: the tickets that this incarnation of the daemon has minted. Only
the daemon that minted a ticket executes it; once it is gone, nobody ever does.
"""
