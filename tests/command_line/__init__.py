"""The tests of `lavendertide.command_line`."""
