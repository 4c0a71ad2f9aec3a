#!/usr/bin/env bash
# Runs the driver class $2 of the case in the folder $1. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
review="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
[[ -f "$review/target/classes/$2.class" && -f "$review/../target/baobabhollow.jar" ]] || exit 2
timeout -k 5 112 java -Xmx512m -Dreview.root="$(dirname "$review")" -cp "$review/target/classes" "$2" "$1/record.txt"
code=$?
(( code <= 1 )) && exit "$code"
exit 2
