"""The tests of `lavendertide.gateway`."""
