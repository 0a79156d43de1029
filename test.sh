#!/usr/bin/env bash
# Checks the tree: formatting, vet, the deploy build, the tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt wants to change:" $unformatted >&2
	exit 1
fi
go vet ./...
mkdir -p bin && go build -o bin/ ./cmd/...
go test -race ./...
