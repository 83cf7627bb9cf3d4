"""Benchmarks of the tier; their bounds come from the stated performance target."""
