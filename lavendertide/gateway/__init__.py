"""The gateway process, which forwards callers' requests to targets.

`Gateway` is the root and wires the other packages together. This package knows no
names or formats of the platform: `lavendertide.platform` supplies the options, a reader
of the platform and the two message codecs.
"""
