"""Tests of `lavendertide.restoration`."""
