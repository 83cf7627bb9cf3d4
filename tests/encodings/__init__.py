"""The tests of `lavendertide.encodings`."""
