#!/bin/sh
# Runs the case; exit codes: 0 held, 1 broken, 2 could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 -S "review/15/case.py"
