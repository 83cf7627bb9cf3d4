"""Finds the commit on which a measurement is made."""

import subprocess


def revision() -> str:
    """Returns the abbreviated commit, with `-dirty` if files were changed."""
    command = ["git", "describe", "--always", "--dirty", "--abbrev=10"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"
