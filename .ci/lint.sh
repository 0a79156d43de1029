#!/usr/bin/env bash
# Runs the linter at its pinned version, and installs that version first if it is missing.
# All arguments are passed to "golangci-lint run".
set -euo pipefail
cd "$(dirname "$0")/.."
version=2.15.0
folder=$(go env GOPATH)/bin
linter=$folder/golangci-lint
if ! "$linter" version 2>/dev/null | grep -qF "version v$version " && ! "$linter" version 2>/dev/null | grep -qF "version $version "; then
	GOBIN=$folder GOFLAGS=-mod=mod go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v$version"
fi
"$linter" run "$@" ./...
