"""Requests that crash each target that runs them.

The root is `Quarantine`: which requests are suspects, cleared or condemned. `Trials`
lets one suspect run at a time.
"""
