"""Membership of the fleet, leases on targets, and the links between daemons.

The root of the aggregate is `Roster`, this daemon's view of all members.
"""
