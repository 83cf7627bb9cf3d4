"""Joins the parts into the process that forwards callers' requests to targets.

`Gateway` is the root. What the platform calls things is not known here: the folder
`lavendertide.platform` hands in the options, a reader of the platform and the two
translations of messages.
"""
