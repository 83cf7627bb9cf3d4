"""The daemons of one fleet: who is in it, who holds which target, and their links.

The root is `Roster`, this daemon's view of all members.
"""
