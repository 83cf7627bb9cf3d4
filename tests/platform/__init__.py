"""The tests of `lavendertide.platform`."""
