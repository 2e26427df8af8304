#!/usr/bin/env bash
# Builds the stand-ins and the checkers of the cases in review/. Needs g++ and nlohmann-json3-dev, which are
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for program in gang_failures gang_checkpoints refused_but_run; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/$program" \
    "stand_ins/$program.cpp" stand_ins/deployment.cpp stand_ins/workers.cpp stand_ins/http.cpp &
done
for job in $(jobs -p); do wait "$job"; done
