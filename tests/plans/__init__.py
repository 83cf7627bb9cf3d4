"""The tests of `lavendertide.plans`."""
