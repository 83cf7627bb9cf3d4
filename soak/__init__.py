"""Soak test: runs gateways as processes under injected faults and checks guarantees.

`faults` draws a plan of overlapping faults and changes from a seed, `proxy` disturbs
connections, `operator` holds the configuration and its versions, `gateways` injects
faults into gateways, and `environment` runs the processes and injects all other faults.
`callers` keeps sending requests on `connection`. `guarantees` checks the recorded
outcomes against the guarantees to callers, and `accounts` checks the gateways' counts.
"""
