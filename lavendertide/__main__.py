"""Starts the daemon: `lavendertided SETTINGS`."""

import lavendertide.runtime.patching  # noqa: F401  (has to come first)
from lavendertide.daemon.main import main

if __name__ == "__main__":
    main()
