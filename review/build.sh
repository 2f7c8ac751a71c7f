#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release \
    -DCMAKE_PROJECT_fireflyswitch_INCLUDE="$PWD/review/rig/defer.cmake"
cmake --build target -j 6 --target fireflynode review-rig
# Leaves the build folder as the deploy file makes it.
cmake -S . -B target -UCMAKE_PROJECT_fireflyswitch_INCLUDE >/dev/null
