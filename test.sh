#!/usr/bin/env bash
# Checks the source: formatting, go vet, the linter, the deployment build and the tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "files that are not formatted with gofmt:" $unformatted >&2
	exit 1
fi
go vet ./...
go vet -tags faults ./...
.ci/lint.sh
# Uses the build command of the deployment file, so that the tested programs are the deployed ones.
build=$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)
sh -c "$build"
for program in bin/garnetline bin/simadapter; do
	case "$(ldd "$program")" in # no pipe: with pipefail, a reader that exits early would count as a failure
	*libc.so*) ;;
	*)
		echo "$program: expected a dynamically linked program, but it does not use the C library" >&2
		exit 1
		;;
	esac
done
.ci/go-test.sh -race
