"""Limits concurrency so that overload is refused early instead of being served late."""
