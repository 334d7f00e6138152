#!/usr/bin/env bash
# Builds the driver of the cases 11 to 15, with the packages of the deploy file, into build/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread review/driver-3/*.cpp -o build/review-3/driver-3
