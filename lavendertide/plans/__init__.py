"""Rate and concurrency limits of plans, their division, and failure records.

The aggregate root is `PlanLimiter`, the limits of one plan on this daemon.
"""
