"""The tests of `lavendertide.registry`."""
