"""Tests that run the daemon as separate processes."""
