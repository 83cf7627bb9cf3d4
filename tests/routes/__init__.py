"""Tests of `lavendertide.routes`."""
