#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all,-serial -d target/review-2 -cp 'target/lib/*' review/standins-2/*.java
