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
mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
CGO_ENABLED=1 go build -tags cluster -ldflags=-linkmode=external -o bin/larkreach-cluster ./cmd/larkreach

# Tests in KNOWN-RED.txt fail for a real fault that is not mended yet: they run by themselves at the end, and CI prints how they ended and
# passes over them.
known_red=$(sed -n 's/^\(Test[A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
skip_known_red=(${known_red:+-skip "^($known_red)\$"})

go test -race -run '^$' ./... > /dev/null                # builds with all cores;
go test -race -p 2 -timeout 280s "${skip_known_red[@]}" ./...                    # tests that start programs get some of them to themselves
go test -timeout 200s ./internal/lab/cluster ./internal/cluster/plan # one thread: the race detector would only slow the walk down

# Several processes that keep copies for each other, with nothing beside them.
go test -race -tags cluster -parallel 4 -timeout 300s -run '^TestFleet' "${skip_known_red[@]}" ./cmd/larkreach
if [ -n "$known_red" ]; then
  verdict=passed
  go test -race -tags cluster -timeout 240s -run "^($known_red)\$" ./... > /dev/null 2>&1 || verdict=failed
  printf 'known red, %s in this run:\n' "$verdict"
  cat KNOWN-RED.txt
fi
