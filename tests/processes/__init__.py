"""Tests that run daemons, gateways and targets as separate processes."""
