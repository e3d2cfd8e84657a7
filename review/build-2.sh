#!/usr/bin/env bash
# Prepares the stand-ins that the cases 6 to 10 start, after the build of
# deploy/system.toml. They are Python and need the modules of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q platform/platform_standins review/cluster2.py \
    review/{6,7,8,9,10}/play.py
PYTHONPATH=target/deps:platform:. python3 -S -c 'import platform_standins.store'
