"""The targets that have registered themselves with the platform.

The root is `TargetRegistry`. The reader of the platform puts entries and removals into
it; the forwarder looks up the targets of a service.
"""
