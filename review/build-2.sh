#!/bin/sh
# Builds what the cases 6 to 10 start beside the programs of the deploy file: the program for fleets that replicate, and
# the stand-ins with the drivers of the cases. Run after the build of deploy/balancer.toml; needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -tags cluster -ldflags=-linkmode=external -o bin/larkreach-cluster ./cmd/larkreach
go build -o bin/review-standins-2 ./review/standins-2
go build -o bin/review-standins-3 ./review/standins-3
