"""Tests of `lavendertide.warmup`."""
