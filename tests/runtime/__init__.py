"""The tests of `lavendertide.runtime`."""
