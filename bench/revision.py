"""The commit that a measurement was made on."""

import subprocess


def revision() -> str:
    """Returns the short name of the commit, with a mark if files were changed."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=10"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"
