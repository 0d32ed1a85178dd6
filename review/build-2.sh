#!/bin/sh
# Builds the cases 6 to 10 and the stand-ins that they start, after the build of the deploy file, into build/review-2.
# They use the project's stand-ins for discovery, platform and release desk, and the libraries of that build.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -Wno-restrict -I. -Isrc"
pids=""
compile() { # source, object
    g++ $flags -c "$1" -o "$2" &
    pids="$pids $!"
}
for source in http/server desk/desk desk/update_log program/program; do
    compile "standins/$source.cpp" "$out/$(basename "$source").o"
done
for case in 6 7 8 9 10; do
    [ -f "review/$case/case.cpp" ] && compile "review/$case/case.cpp" "$out/case-$case.o"
done
for pid in $pids; do wait "$pid"; done
for case in 6 7 8 9 10; do
    [ -f "review/$case/case.cpp" ] || continue
    g++ -o "$out/case-$case" "$out/case-$case.o" "$out/server.o" "$out/desk.o" "$out/update_log.o" "$out/program.o" \
        build/libpineridge_bytes.a build/libpineridge_base.a -ldl -lpthread
done
