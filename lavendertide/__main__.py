"""Starts the daemon: `lavendertided SETTINGS`."""

# Both have to precede other imports.
from lavendertide.runtime import early_signals, patching  # noqa: F401, I001
from lavendertide.daemon.main import main

if __name__ == "__main__":
    main()
