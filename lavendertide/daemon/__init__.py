"""Joins the aggregates into a process and runs its tasks."""
