"""The tests of `lavendertide.executions`."""
