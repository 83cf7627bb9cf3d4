"""A query tier over many shards for owners who keep separate books.

Each folder below holds one aggregate with its own rules: `queries`, `targets`,
`fleet`, `plans`, `configuration` and `executions`. `encodings` turns messages into
bytes and back, `runtime` holds all that knows about green threads, and `daemon`
joins the parts into a process.
"""
