"""The targets that have registered themselves with the platform.

The root is `TargetRegistry`. Who reads the platform hands it entries and removals;
who forwards requests asks it for the targets of a service.
"""
