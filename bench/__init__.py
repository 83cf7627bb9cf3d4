"""Benchmarks on separate processes; their bounds come from the stated target."""
