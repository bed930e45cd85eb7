#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j6
