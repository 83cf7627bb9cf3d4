"""The tests of `lavendertide.forwarding`."""
