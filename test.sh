#!/usr/bin/env bash
# The whole check of this repository: format, vet, build, tests.
set -eu
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'gofmt wants changes in:\n%s\n' "$unformatted" >&2
  exit 1
fi
go vet ./...
go vet -tags cluster ./cmd/larkreach
lint() { go tool -modfile=tools/go.mod "$@"; }
lint staticcheck ./...
lint staticcheck -tags cluster ./cmd/larkreach
lint revive -config tools/revive.toml ./...
mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
CGO_ENABLED=1 go build -tags cluster -ldflags=-linkmode=external -o bin/larkreach-cluster ./cmd/larkreach

# Tests in KNOWN-RED.txt fail for a real fault that is not mended yet: each is passed over in its own package alone, and at the end its own
# command runs by itself and CI prints how it ended.
knownred=bin/knownred
go build -o $knownred ./internal/tools/knownred
$knownred check

go test -race -run '^$' ./... > /dev/null                # builds with all cores;
$knownred test -race -p 2 -timeout 280s ./...                    # tests that start programs get some of them to themselves
$knownred test -timeout 200s ./internal/lab/cluster ./internal/cluster/plan # one thread: the race detector would only slow the walk down

# Several processes that keep copies for each other, with nothing beside them.
$knownred test -race -tags cluster -parallel 4 -timeout 300s -run '^TestFleet' ./cmd/larkreach
$knownred run
