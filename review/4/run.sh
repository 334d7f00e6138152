#!/usr/bin/env bash
# Runs this case; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case.sh" "$(basename "$folder")"
