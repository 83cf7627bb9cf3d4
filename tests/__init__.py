"""Tests of lavendertide, with a class for each subject.

Hypothesis generates the same cases in each run, so that results are repeatable, and
sets no deadline, so that no case fails on a slow machine.
"""

from typing import Final

from hypothesis import settings

PROFILE: Final = "repeatable"

settings.register_profile(PROFILE, derandomize=True, deadline=None)
settings.load_profile(PROFILE)
