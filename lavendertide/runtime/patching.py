"""Patches the blocking calls of the standard library; imported before anything else.

A patched call lets other tasks run while it waits. Locks are not patched: all tasks of
a process run in one thread and none waits while it holds a lock, so locks are never
contended. Patching them would make `eventlet` search all objects of the process for
existing locks, which adds 0.15 s to the start (docs/MEASUREMENTS.md, Start-up).
"""

import eventlet

eventlet.monkey_patch(thread=False)
