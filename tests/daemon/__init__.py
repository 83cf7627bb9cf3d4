"""Tests of `lavendertide.daemon`."""
