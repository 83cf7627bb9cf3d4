"""Ignores SIGHUP from the start of the process.

Its default action would end a process that is still loading its code, which takes some
tenths of a second. A daemon that reads changed settings handles the signal afterwards;
what changed before is read at the start anyway.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
