"""The tests of `lavendertide.fleet`."""
