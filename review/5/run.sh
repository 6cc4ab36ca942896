#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 java -Xmx256m -cp "$repository/target/review:$repository/target/lib/*" FinishedDuringMove "$repository" "$here" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
