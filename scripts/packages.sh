#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the benchmarks need, if any is missing.
set -euo pipefail
packages=(
  g++ cmake make ninja-build ccache clang-format clang-tidy curl jq gnuplot-nox
  libboost1.81-dev libboost-json1.81-dev libjsonrpccpp-dev prometheus-cpp-dev libcli11-dev
  liblog4cplus-dev libgtest-dev libgmock-dev libbenchmark-dev libxxhash-dev libssl-dev shellcheck
)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
