"""Tests of `lavendertide.gateway`."""
