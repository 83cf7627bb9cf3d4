"""Tests of `lavendertide.plans`."""
