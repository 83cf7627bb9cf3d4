"""Tests of `lavendertide.forwarding`."""
