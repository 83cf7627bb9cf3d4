"""At-most-once execution of non-idempotent requests.

The root is `Ledger`, which holds the tickets that this incarnation of the daemon has
issued. Only the daemon that issued a ticket executes it. After that daemon has ended,
the ticket is never executed.
"""
