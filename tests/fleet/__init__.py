"""Tests of the fleet: roster, watching, removal, readiness, addresses."""
