"""Tests of `lavendertide.executions`."""
