"""Stand-ins for the systems around the query tier: targets and platform services.

They implement the protocols of docs/PROTOCOLS.md and count the requests and connections
that reach them, so that tests and benchmarks can check the tier from outside.
"""
