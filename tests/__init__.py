"""Tests of lavendertide, a class for each subject.

Generated cases are the same in each run, so that the verdict is too, and none of them
fails for the time it took.
"""

from typing import Final

from hypothesis import settings

PROFILE: Final = "repeatable"

settings.register_profile(PROFILE, derandomize=True, deadline=None)
settings.load_profile(PROFILE)
