"""Targets that have just started and take few requests until they are warm.

The root is `ColdTargets` in `cold_targets`.
"""
