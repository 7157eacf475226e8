#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/ebonycroft ] || exit 2
target/review/rig twice review/3
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
