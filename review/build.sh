#!/bin/sh
# Builds what the cases start beside the build of the deploy file: the program for fleets that replicate, and the stand-ins.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -tags cluster -ldflags=-linkmode=external -o bin/larkreach-cluster ./cmd/larkreach
go build -tags review -o bin/review-standins ./review/standins
