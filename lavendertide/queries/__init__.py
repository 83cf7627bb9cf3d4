"""One query from admission to its answer.

The root is `Query`: what was asked, by when, over which snapshot, and which shards
have answered so far. `fan_out` is the task that drives it.
"""
