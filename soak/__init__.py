"""Plays gateways as processes under faults from outside, and checks what is promised.

`faults` draws a plan of overlapping faults from a seed, `proxy` disturbs connections,
`world` runs the processes and brings the faults about, `callers` keep sending requests,
and `promises` judges what callers and targets have seen.
"""
