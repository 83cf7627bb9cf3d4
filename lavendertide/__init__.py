"""A query tier over many shards, whose owners have separate plans and failure logs.

Each of the packages `queries`, `targets`, `fleet`, `plans`, `configuration` and
`executions` holds one aggregate with its own rules. `encodings` converts messages to
bytes and back, `runtime` contains all code that depends on green threads, and `daemon`
builds the process from the aggregates.
"""
