"""Soak test: runs gateways as processes under injected faults and checks guarantees.

`faults` draws a plan of overlapping faults from a seed, `proxy` disturbs connections,
`environment` runs the processes and injects the faults, `callers` keeps sending
requests, and `guarantees` checks the recorded outcomes against the guarantees to
callers.
"""
