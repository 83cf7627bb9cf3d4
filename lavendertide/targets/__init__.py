"""Targets as the daemon that holds their slots sees them.

The root is `Lane`: one target's queue and slots. One task for each connection takes
sub-requests from it and exchanges them with the target.
"""
