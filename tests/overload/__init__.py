"""Tests of `lavendertide.overload`."""
