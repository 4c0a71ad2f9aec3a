#!/usr/bin/env bash
exec bash "$(dirname "$0")/../case.sh" "$(cd "$(dirname "$0")" && pwd)" SmallChunks
