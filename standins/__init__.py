"""Small stand-ins for what surrounds the tier: targets and the platform's services.

They speak the protocols of docs/PROTOCOLS.md and count what they see, so that tests
and benchmarks can check the tier from outside.
"""
