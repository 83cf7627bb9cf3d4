"""Tests of `lavendertide.poison`."""
