"""Demo of a small deployment that serves two owners while one daemon is killed."""
