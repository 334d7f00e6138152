#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/driver-2 review/driver-2/*.cpp
