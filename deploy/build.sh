#!/usr/bin/env bash
# Builds the node and collects everything that a VM needs under target/: the jars, a jar whose manifest lists them, and an
# archive of the classes that a node loads (AppCDS), which shortens startup.
set -euo pipefail
cd "$(dirname "$0")/.."

mvn -B -q -DskipTests -Dspotless.check.skip=true -pl cli -am package

rm -rf target
mkdir -p target/lib
cp cli/target/lib/*.jar cli/target/baobabhollow-cli-*.jar target/lib/

manifest="$(mktemp)"
{
    echo "Main-Class: dev.baobabhollow.cli.MainKt"
    # Manifest lines are limited to 72 bytes; a continuation line starts with a space.
    echo "Class-Path: "
    for jar in target/lib/*.jar; do echo "  lib/$(basename "$jar")"; done
} > "$manifest"
jar cfm target/baobabhollow.jar "$manifest"
rm -f "$manifest"

# The archive is optional; without it a node only takes longer to start.
timeout 120 java @deploy/node.jvmoptions -XX:ArchiveClassesAtExit=target/classes.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
    -jar target/baobabhollow.jar exercise >/dev/null || echo "could not create the class archive target/classes.jsa; nodes will start more slowly" >&2
