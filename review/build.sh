#!/usr/bin/env bash
# Builds the stand-ins and the scenario of each case into target/review/. Runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
output=target/review
mkdir -p "$output"
compile() { g++ -std=c++20 -O1 -Wall -Wextra -I. -c "$1" -o "$2"; }
objects=()
pids=()
for source in review/standin/*.cpp; do
    object="$output/$(basename "$source" .cpp).o"
    objects+=("$object")
    compile "$source" "$object" &
    pids+=($!)
done
for source in review/*/scenario.cpp; do
    compile "$source" "$output/case-$(basename "$(dirname "$source")").o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for source in review/*/scenario.cpp; do
    name="case-$(basename "$(dirname "$source")")"
    g++ "$output/$name.o" "${objects[@]}" -pthread -o "$output/$name"
done
