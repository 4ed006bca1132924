#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x bin/review-standins-3 ] && [ -x bin/larkreach ] || { echo "run the build and review/build-2.sh first" >&2; exit 2; }
bin/review-standins-3 "$(basename "$here")" "$here/record.txt"
