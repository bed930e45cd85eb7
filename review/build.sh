#!/usr/bin/env bash
# Builds the stand-ins and the cases of this folder into target/review. It needs the packages of
# the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4
