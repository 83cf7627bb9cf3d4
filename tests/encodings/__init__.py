"""Tests of `lavendertide.encodings`."""
