"""Protects targets from poison requests, which crash every target that runs them.

The aggregate root is `Quarantine`, which records which requests are suspect, cleared or
quarantined. `Trials` ensures that a suspect has one trial at a time.
"""
