"""The tests of `lavendertide.configuration`."""
