"""The tests of what the benchmarks compute."""
