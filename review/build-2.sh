#!/usr/bin/env bash
# Builds the programs of the cases in review/6 to review/10, with the stand-ins that they contain,
# into build-review-2/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
compile() {
    g++ "${flags[@]}" -c "$1" -o "$out/$(tr / - <<<"${1%.cpp}").o"
}
for source in review/harness-2/*.cpp; do
    compile "$source" &
done
for source in review/{6,7,8,9,10}/*.cpp; do
    compile "$source" &
done
for job in $(jobs -p); do
    wait "$job"
done
for source in review/{6,7,8,9,10}/*.cpp; do
    name=case-$(basename "$(dirname "$source")")
    [[ $source == */case.cpp ]] || name+=-$(basename "$source" .cpp)
    g++ "${flags[@]}" "$out/$(tr / - <<<"${source%.cpp}").o" "$out"/review-harness-2-*.o \
        -o "$out/$name"
done
