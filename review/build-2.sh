#!/usr/bin/env bash
# Builds the programs of cases 6 to 10 with their stand-ins into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Wno-psabi -Iinclude -Isrc -Iplatform -Istandins)
libraries=(target/libcatkin.a target/libcatkin_rpc_codec.a -ljsonrpccpp-common -ljsonrpccpp-server
  -ljsonrpccpp-client -ljsoncpp -llog4cplus -lprometheus-cpp-core -lcrypto -lxxhash -lboost_json)
pids=()
for source in standins/standin.cpp standins/fleet_engine_standin.cpp standins/fleet_store_standin.cpp \
  review/rig-2.cpp review/rig-3.cpp; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
  pids+=($!)
done
for n in 6 7 8 9 10; do
  g++ "${flags[@]}" -c "review/$n/case.cpp" -o "$out/case-$n.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for n in 6 7 9; do # with stand-ins of their own
  g++ -pthread "$out/case-$n.o" "$out/rig-3.o" -lboost_json -o "$out/case-$n"
done
for n in 8 10; do # with the project's stand-ins
  g++ -pthread "$out/case-$n.o" "$out/rig-2.o" "$out/standin.o" "$out/fleet_engine_standin.o" "$out/fleet_store_standin.o" \
    "${libraries[@]}" -o "$out/case-$n"
done
