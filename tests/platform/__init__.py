"""Tests of `lavendertide.platform`."""
