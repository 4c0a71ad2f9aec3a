#!/usr/bin/env bash
# Builds the node and gathers everything that a VM needs under target/: jars, the jar that names them, and an archive of
# the classes that a node loads, which shortens its start.
set -euo pipefail
cd "$(dirname "$0")/.."

mvn -B -q -DskipTests -Dspotless.check.skip=true -pl cli -am package

rm -rf target
mkdir -p target/lib
cp cli/target/lib/*.jar cli/target/baobabhollow-cli-*.jar target/lib/

manifest="$(mktemp)"
{
    echo "Main-Class: dev.baobabhollow.cli.MainKt"
    # A line of a manifest has at most 72 bytes; each continuation begins with a space.
    echo "Class-Path: "
    for jar in target/lib/*.jar; do echo "  lib/$(basename "$jar")"; done
} > "$manifest"
jar cfm target/baobabhollow.jar "$manifest"
rm -f "$manifest"

# A node also runs without the archive, only its start takes longer.
timeout 120 java @deploy/node.jvmoptions -XX:ArchiveClassesAtExit=target/classes.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
    -jar target/baobabhollow.jar exercise >/dev/null || echo "no class archive was made" >&2
