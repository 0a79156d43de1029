#!/bin/sh
# Builds the programs that the cases 6 to 10 start beside those of the deploy file. Each holds the
# stand-ins of its case: the platform, the caches, the change log, the network and the clients. The build
# of the deploy file has to run first; it builds the router.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/peers/bin
for number in 6 7 8 9 10; do
	go build -o "review/peers/bin/case$number" "./review/$number/case"
done
