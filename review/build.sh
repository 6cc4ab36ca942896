#!/usr/bin/env bash
# Compiles the stand-ins of the cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp "target/lib/*" review/standins/*.java
