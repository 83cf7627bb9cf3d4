"""Execution of one query, from admission to the response.

The aggregate root is `Query`, an admitted search with its plan and deadline. `fan_out`
holds the task that sends its sub-requests, tracks the covered shards and builds the
response.
"""
