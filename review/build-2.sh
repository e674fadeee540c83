#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/parts-2"
rm -rf target
mkdir -p target/classes
javac -d target/classes src/*.java
