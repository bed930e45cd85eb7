#!/usr/bin/env bash
# The same fault breaks TWICE. Exits with 1 if that rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[[ -x build-review-2/case-6-twice && -x target/dragonflyroad-sidecar ]] || exit 2
exec build-review-2/case-6-twice review/6/record.txt
