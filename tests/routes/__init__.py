"""The tests of `lavendertide.routes`."""
