#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")"
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=2 118 python3 case.py
