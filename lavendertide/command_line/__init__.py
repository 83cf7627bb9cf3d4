"""The command-line tool `lavendertide`, for callers and operators."""
