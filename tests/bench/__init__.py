"""Tests of the computations in the benchmarks."""
