#!/usr/bin/env bash
# Builds all modules and runs all checks: formatter, linter, generated code, unit, contract and randomised
# tests with fixed seeds, and the demo. Tests listed in KNOWN-RED.txt run separately; their results are printed
# but do not affect the exit code.
set -uo pipefail
cd "$(dirname "$0")/.."

known=()
if [ -f KNOWN-RED.txt ]; then
  # Entries start with "test: Class#method".
  mapfile -t known < <(sed -n 's/^test: *\([A-Za-z0-9_$#.]*\).*/\1/p' KNOWN-RED.txt)
fi
exclusions=""
for test in "${known[@]}"; do
  exclusions="$exclusions,!$test"
done

tools/generate-protocol.sh --check || exit 1
arguments=(-B -ntp verify)
if [ -n "$exclusions" ]; then
  # Beside an excluded method, *Test alone does not select nested test classes.
  arguments+=("-Dtest=*Test,*Test\$*$exclusions" -Dsurefire.failIfNoSpecifiedTests=false)
fi
mvn "${arguments[@]}" || exit 1

for test in "${known[@]}"; do
  if mvn -B -q -ntp test "-Dtest=$test" -Dsurefire.failIfNoSpecifiedTests=false >/dev/null 2>&1; then
    echo "KNOWN-RED: $test passes now; remove it from KNOWN-RED.txt"
  else
    echo "KNOWN-RED: $test still fails"
  fi
done

demo=basilport-cli/src/main/java/org/basilport/cli/demo/Demo.java
if [ -x ./basilport ] && [ -f "$demo" ]; then
  ./basilport demo --site examples/nucleo-andino || exit 1
fi
