"""Tests of `lavendertide.configuration`."""
