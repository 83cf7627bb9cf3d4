"""The tests of `lavendertide.queries`."""
