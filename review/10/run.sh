#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x bin/review-standins-2 ] && [ -x bin/larkreach ] || { echo "run the build and review/build-2.sh first" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
bin/review-standins-2 "$(basename "$here")" "$here/record.txt" "$dir"
