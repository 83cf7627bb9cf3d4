"""One caller's request on its way to targets and back.

The root is `Forwarder`. It chooses the targets, asks them, asks another one where that
helps, and joins what they answer. How requests are written on the wire is not known
here; `lavendertide.platform` translates.
"""
