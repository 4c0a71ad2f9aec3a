#!/usr/bin/env bash
# Compiles the stand-ins and drivers of the cases into review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -d target/classes standins/*.java
