"""The tests of `lavendertide.targets`."""
