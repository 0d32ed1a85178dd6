#!/bin/sh
# Builds the program of each case, with its stand-ins, into build/review. Run it after the build of the deploy file;
# it needs the compiler and nlohmann-json3-dev, which that build needs too.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for case in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case-$number" "$case"
done
