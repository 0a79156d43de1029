#!/usr/bin/env bash
# Checks the tree: formatting, vet, the linter, the deploy build, the tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt wants to change:" $unformatted >&2
	exit 1
fi
go vet ./...
go vet -tags faults ./...
.ci/lint.sh
# The build is the deploy file's own, so that what is tested is what is deployed.
build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
sh -c "$build"
for program in bin/garnetline bin/simadapter; do
	case "$(ldd "$program")" in # no pipe: one that ends early would count as a failure
	*libc.so*) ;;
	*)
		echo "$program: not linked dynamically against the C library" >&2
		exit 1
		;;
	esac
done
.ci/go-test.sh -race
