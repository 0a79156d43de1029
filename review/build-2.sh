#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: the platform, the caches, the change log and the
# clients, all in one program. The build of the deploy file has to run first; it builds the router.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/peers/bin
go build -o review/peers/bin/ ./review/peers
