"""Makes the standard library's waits green; imported before everything else."""

import eventlet

eventlet.monkey_patch()
