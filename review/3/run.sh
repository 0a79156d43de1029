#!/bin/sh
# Runs case 3. Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/garnetline ] && [ -x review/bin/case3 ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec review/bin/case3 review/3
