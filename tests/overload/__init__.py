"""Tests of the folder `lavendertide/overload`."""
