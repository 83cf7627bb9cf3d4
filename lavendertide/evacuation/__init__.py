"""Failure domains whose targets must get no requests, by order of the operator.

The root is `EvacuatedDomains` in `evacuated_domains`.
"""
