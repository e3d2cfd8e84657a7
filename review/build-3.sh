#!/bin/sh
# Builds what the cases 11 to 15 start, after the build command of
# deploy/system.toml: the stand-ins are Python and are compiled only.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
export PYTHONPATH=target/deps:platform:.
python3 -S -m compileall -q platform flamingosail review/fleet3.py \
    review/1[1-5]/case.py
python3 -S -c "import platform_standins.store"
