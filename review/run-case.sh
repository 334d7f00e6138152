#!/usr/bin/env bash
# Runs the scenario of a case: run-case.sh N. Exit code 0: the rule held; 1: it was broken; 2: the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -x "target/review/case-$1" ] && [ -x target/apps/chervilportd/chervilportd ] || exit 2
timeout --kill-after=2 115 "target/review/case-$1" "review/$1/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
