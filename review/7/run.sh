#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out; SEED sets the seed, 1 by default.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/garnetline review/peers/bin/case7; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2
		exit 2
	fi
done
exec review/peers/bin/case7 review/7
