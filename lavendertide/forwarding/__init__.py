"""Forwards callers' requests to targets and builds the responses.

The aggregate root is `Forwarder`. It selects targets, sends them sub-requests, repeats
or hedges these where that helps, and merges the replies. This package knows nothing of
the wire format: `lavendertide.platform` encodes and decodes messages.
"""
