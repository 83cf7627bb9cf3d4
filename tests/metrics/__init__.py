"""The tests of `lavendertide.metrics`."""
