"""Tests of `lavendertide.evacuation`."""
