"""Serialization of messages, settings and published lists; makes no decisions."""
