"""The tests of `lavendertide.reports`."""
