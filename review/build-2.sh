#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of the cases 6 to 10 with the JDK alone. Run it after deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")/src-2"

rm -rf target
mkdir target
javac -Xlint:all -encoding UTF-8 --release 17 -d target ./*.java
