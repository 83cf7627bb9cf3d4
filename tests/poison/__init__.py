"""The tests of `lavendertide.poison`."""
