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
mkdir -p bin && go build -o bin/ ./cmd/...
go test -race -timeout 120s ./...
