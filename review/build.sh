#!/bin/sh
# Builds the programs that the cases start beside those of the deploy file: one driver a case, which
# holds the stand-ins of clients, servers, the platform and the network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]; do
	go build -o "review/bin/case${folder#review/}" "./$folder/case"
done
