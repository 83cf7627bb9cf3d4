"""Tests of `lavendertide.registry`."""
