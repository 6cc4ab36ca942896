#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
export TROUBLE="${TROUBLE:-1}"
timeout -k 3 115 java -Xmx256m -cp "$repository/target/review:$repository/target/lib/*" CrashingRequest "$repository" "$here" "$folder"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
