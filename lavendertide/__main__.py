"""Starts the daemon: `lavendertided SETTINGS`."""

import lavendertide.runtime.patching  # noqa: F401  (patches before other imports)
from lavendertide.daemon.main import main

if __name__ == "__main__":
    main()
