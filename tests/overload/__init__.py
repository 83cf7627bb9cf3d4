"""Tests of the limits of concurrency and of what targets handle well."""
