#!/usr/bin/env bash
# Builds the stand-ins of the scripts into the build folder. Needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -d target/review review/src/*.java
